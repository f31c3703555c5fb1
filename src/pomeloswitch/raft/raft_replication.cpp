//! Sending the log to followers and taking it over from the leader.
#include "pomeloswitch/raft/raft_core.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

std::uint64_t toTicks(raft_time Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

raft_time fromTicks(std::uint64_t Ticks) {
  return raft_time(
      raft_time::duration(static_cast<raft_time::duration::rep>(Ticks)));
}

} // namespace

void raft_core::replicateTo(const wire::raft_member &Member, raft_time Now) {
  progress &To = Progress[Member.host_id()];
  while (To.Due || (!To.Probing && To.Next <= Log.lastIndex() &&
                    To.Next - To.Match <= Options.Limits.EntriesAhead)) {
    To.Due = false;
    const auto PreviousTerm = Log.termAt(To.Next - 1);
    if (!PreviousTerm)
      return sendSnapshot(Member, To, Now);
    wire::raft_message Message = makeMessage(Member.host_id());
    auto *Request = Message.mutable_append_request();
    Request->set_previous_index(To.Next - 1);
    Request->set_previous_term(*PreviousTerm);
    Request->set_commit_index(Commit);
    Request->set_sent_at(toTicks(Now));
    std::size_t Bytes = 0;
    while (!To.Probing && To.Next <= Log.lastIndex() &&
           To.Next - To.Match <= Options.Limits.EntriesAhead &&
           Bytes < Options.Limits.MessageBytes) {
      *Request->add_entries() = Log.at(To.Next++);
      Bytes += Request->entries().rbegin()->ByteSizeLong();
    }
    send(std::move(Message));
  }
}

void raft_core::sendSnapshot(const wire::raft_member &Member,
                             progress &Progress, raft_time Now) {
  if (!Snapshot ||
      Now - Progress.SnapshotSentAt < Options.Times.SnapshotRetry) {
    // An empty request keeps the follower from electing another leader.
    wire::raft_message Message = makeMessage(Member.host_id());
    auto *Request = Message.mutable_append_request();
    Request->set_previous_index(Log.lastIndex());
    Request->set_previous_term(Log.lastTerm());
    Request->set_sent_at(toTicks(Now));
    return send(std::move(Message));
  }
  Progress.SnapshotSentAt = Now;
  wire::raft_message Message = makeMessage(Member.host_id());
  *Message.mutable_snapshot_request()->mutable_snapshot() = *Snapshot;
  Message.mutable_snapshot_request()->set_sent_at(toTicks(Now));
  send(std::move(Message));
}

void raft_core::onAppendRequest(const wire::raft_message &Message,
                                raft_time Now) {
  const wire::append_request &Request = Message.append_request();
  if (Message.term() < term())
    return answerAppend(Message, false, Log.lastIndex());
  becomeFollower(Message.term(), Message.from_host(), Now);
  HeardLeaderAt = Now;
  const auto KnownTerm = Log.termAt(Request.previous_index());
  if (Request.previous_index() >= Log.firstIndex() - 1 &&
      KnownTerm != Request.previous_term()) {
    std::uint64_t Hint = Log.lastIndex();
    if (KnownTerm) {
      Hint = Request.previous_index() - 1;
      while (Hint > Commit && Log.termAt(Hint) == KnownTerm)
        --Hint;
    }
    return answerAppend(Message, false, Hint);
  }
  acceptEntries(Request);
  const std::uint64_t Last = Request.previous_index() +
                             static_cast<std::uint64_t>(Request.entries_size());
  Commit = std::max(Commit, std::min(Request.commit_index(), Last));
  answerAppend(Message, true, Last);
}

//! Entries that are already there stay, since a late message must not cut off
//! what came after it.
void raft_core::acceptEntries(const wire::append_request &Request) {
  for (const wire::raft_entry &Entry : Request.entries()) {
    if (Entry.index() < Log.firstIndex() ||
        Log.termAt(Entry.index()) == Entry.term())
      continue;
    if (Entry.index() <= Commit)
      throw pomelo_error(
          error_kind::Internal,
          fmt::format("a leader would change the committed entry {}",
                      Entry.index()));
    append(Entry);
  }
}

void raft_core::answerAppend(const wire::raft_message &Message, bool Accepted,
                             std::uint64_t Match) {
  wire::raft_message Answer = makeMessage(Message.from_host());
  Answer.set_to_replica(Message.from_replica());
  auto *Out = Answer.mutable_append_answer();
  Out->set_accepted(Accepted);
  Out->set_match_index(Match);
  Out->set_sent_at(Message.has_append_request()
                       ? Message.append_request().sent_at()
                       : Message.snapshot_request().sent_at());
  if (!Accepted || Match <= SyncedIndex)
    return send(std::move(Answer));
  if (Message.has_snapshot_request())
    return answer(std::move(Answer));
  // The leader's lease need not wait for the disk.
  wire::raft_message Early = Answer;
  Early.mutable_append_answer()->set_match_index(SyncedIndex);
  send(std::move(Early));
  answer(std::move(Answer));
}

void raft_core::onAppendAnswer(const wire::raft_message &Message,
                               raft_time Now) {
  if (Message.term() > term())
    return becomeFollower(Message.term(), {}, Now);
  const auto Found = Progress.find(Message.from_host());
  if (Role != raft_role::Leader || Message.term() < term() ||
      Found == Progress.end())
    return;
  progress &From = Found->second;
  if (From.ReplicaId != Message.from_replica())
    return onIdentityAnswer(Message, Now);
  const wire::append_answer &Answer = Message.append_answer();
  From.AnsweredSentAt =
      std::max(From.AnsweredSentAt, fromTicks(Answer.sent_at()));
  if (Answer.accepted()) {
    From.Match = std::max(From.Match, Answer.match_index());
    From.Next = std::max(From.Next, From.Match + 1);
    From.Probing = false;
    return advanceCommit();
  }
  From.Next =
      std::max(std::min(From.Next, Answer.match_index() + 1), From.Match + 1);
  From.Probing = true;
  // While a snapshot is on its way, the next heartbeat is soon enough.
  From.Due = Log.termAt(From.Next - 1).has_value() ||
             Now - From.SnapshotSentAt >= Options.Times.SnapshotRetry;
}

void raft_core::onSnapshotRequest(const wire::raft_message &Message,
                                  raft_time Now) {
  if (Message.term() < term())
    return answerAppend(Message, false, Log.lastIndex());
  becomeFollower(Message.term(), Message.from_host(), Now);
  HeardLeaderAt = Now;
  const wire::raft_snapshot &Sent = Message.snapshot_request().snapshot();
  if (Sent.index() > Commit) {
    Snapshot = std::make_shared<const wire::raft_snapshot>(Sent);
    Log.reset(*Snapshot);
    Commit = Delivered = Snapshot->index();
    SyncedIndex = SyncedTerm = 0;
    Install = Snapshot;
    Batch.Snapshot = Snapshot;
    Batch.Record.clear_entries();
  }
  answerAppend(Message, true, Sent.index());
}

void raft_core::advanceCommit() {
  std::vector<std::uint64_t> Durable;
  for (const wire::raft_member &Member : Log.config().members())
    if (Member.voter())
      Durable.push_back(matchOf(Member.host_id()));
  if (Durable.empty())
    return;
  std::sort(Durable.rbegin(), Durable.rend());
  const std::uint64_t Index = Durable[quorum() - 1];
  // Entries of earlier terms are committed only along with one of this term.
  if (Index <= Commit || Log.termAt(Index) != term())
    return;
  Commit = Index;
  for (auto &[HostId, Each] : Progress)
    Each.Due = true;
}

std::uint64_t raft_core::matchOf(const std::string &HostId) const {
  if (HostId == Options.HostId)
    return SyncedIndex;
  const auto Found = Progress.find(HostId);
  return Found == Progress.end() ? 0 : Found->second.Match;
}

} // namespace pomelo
