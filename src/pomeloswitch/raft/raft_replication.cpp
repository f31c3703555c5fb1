//! Log replication from the leader to followers and learners.
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
  progress &Follower = Progress[Member.host_id()];
  while (
      Follower.SendDue ||
      (!Follower.Probing && Follower.Next <= Log.lastIndex() &&
       Follower.Next - Follower.Match <= Options.Limits.MaxInflightEntries)) {
    Follower.SendDue = false;
    const auto PreviousTerm = Log.termAt(Follower.Next - 1);
    if (!PreviousTerm)
      return sendSnapshot(Member, Follower, Now);
    wire::raft_message Message = makeMessage(Member.host_id());
    auto *Request = Message.mutable_append_request();
    Request->set_previous_index(Follower.Next - 1);
    Request->set_previous_term(*PreviousTerm);
    Request->set_commit_index(Commit);
    Request->set_sent_at(toTicks(Now));
    std::size_t Bytes = 0;
    while (!Follower.Probing && Follower.Next <= Log.lastIndex() &&
           Follower.Next - Follower.Match <=
               Options.Limits.MaxInflightEntries &&
           Bytes < Options.Limits.MaxMessageBytes) {
      *Request->add_entries() = Log.at(Follower.Next++);
      Bytes += Request->entries().rbegin()->ByteSizeLong();
    }
    send(std::move(Message));
  }
}

void raft_core::sendSnapshot(const wire::raft_member &Member,
                             progress &Progress, raft_time Now) {
  if (!Snapshot ||
      Now - Progress.SnapshotSentAt < Options.Times.SnapshotRetry) {
    // An empty request serves as a heartbeat and keeps the follower from
    // starting an election.
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
  LastLeaderContact = Now;
  LatestStamp = {Message.term(), Request.sent_at()};
  JoinRefusal.clear();
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

std::optional<raft_time::duration> raft_core::ageOf(const leader_stamp &Stamp,
                                                    raft_time Now) const {
  if (Role != raft_role::Leader || Stamp.Term != term())
    return std::nullopt;
  return Now - fromTicks(Stamp.SentAt);
}

//! Skips entries that the log already contains, because a delayed message must
//! not truncate entries that were appended after it was sent.
void raft_core::acceptEntries(const wire::append_request &Request) {
  for (const wire::raft_entry &Entry : Request.entries()) {
    if (Entry.index() < Log.firstIndex() ||
        Log.termAt(Entry.index()) == Entry.term())
      continue;
    if (Entry.index() <= Commit)
      throw pomelo_error(
          error_kind::Internal,
          fmt::format(
              "the leader sent a conflicting entry for the committed index {}",
              Entry.index()));
    append(Entry);
  }
}

void raft_core::answerAppend(const wire::raft_message &Message, bool Accepted,
                             std::uint64_t Match) {
  wire::raft_message Answer = makeMessage(Message.from_host());
  Answer.set_to_replica(Message.from_replica());
  auto *AppendAnswer = Answer.mutable_append_answer();
  AppendAnswer->set_accepted(Accepted);
  AppendAnswer->set_match_index(Match);
  AppendAnswer->set_sent_at(Message.has_append_request()
                                ? Message.append_request().sent_at()
                                : Message.snapshot_request().sent_at());
  if (!Accepted || Match <= SyncedIndex)
    return send(std::move(Answer));
  if (Message.has_snapshot_request())
    return sendAfterSync(std::move(Answer));
  // An early answer with the index already durable renews the leader's lease
  // without waiting for the disk.
  wire::raft_message LeaseAnswer = Answer;
  LeaseAnswer.mutable_append_answer()->set_match_index(SyncedIndex);
  send(std::move(LeaseAnswer));
  sendAfterSync(std::move(Answer));
}

void raft_core::onAppendAnswer(const wire::raft_message &Message,
                               raft_time Now) {
  if (Message.term() > term())
    return becomeFollower(Message.term(), {}, Now);
  const auto Found = Progress.find(Message.from_host());
  if (Role != raft_role::Leader || Message.term() < term() ||
      Found == Progress.end())
    return;
  progress &Follower = Found->second;
  if (Follower.ReplicaId != Message.from_replica())
    return onIdentityAnswer(Message, Now);
  const wire::append_answer &Answer = Message.append_answer();
  Follower.LastAnsweredSendTime =
      std::max(Follower.LastAnsweredSendTime, fromTicks(Answer.sent_at()));
  if (Answer.accepted()) {
    Follower.Match = std::max(Follower.Match, Answer.match_index());
    Follower.Next = std::max(Follower.Next, Follower.Match + 1);
    Follower.Probing = false;
    return advanceCommit();
  }
  Follower.Next = std::max(std::min(Follower.Next, Answer.match_index() + 1),
                           Follower.Match + 1);
  Follower.Probing = true;
  // While a snapshot is in flight, the next heartbeat is early enough.
  Follower.SendDue =
      Log.termAt(Follower.Next - 1).has_value() ||
      Now - Follower.SnapshotSentAt >= Options.Times.SnapshotRetry;
}

void raft_core::onSnapshotRequest(const wire::raft_message &Message,
                                  raft_time Now) {
  if (Message.term() < term())
    return answerAppend(Message, false, Log.lastIndex());
  becomeFollower(Message.term(), Message.from_host(), Now);
  LastLeaderContact = Now;
  LatestStamp = {Message.term(), Message.snapshot_request().sent_at()};
  const wire::raft_snapshot &NewSnapshot =
      Message.snapshot_request().snapshot();
  if (NewSnapshot.index() > Commit) {
    Snapshot = std::make_shared<const wire::raft_snapshot>(NewSnapshot);
    // This host may have acknowledged entries after the snapshot: an earlier
    // process on its folder knew of commits that it has not heard of yet.
    if (Log.termAt(Snapshot->index()) == Snapshot->term()) {
      Log.dropUpTo(Snapshot->index());
    } else {
      Log.reset(*Snapshot);
      SyncedIndex = SyncedTerm = 0;
    }
    Commit = LastTaken = Snapshot->index();
    SnapshotToInstall = Snapshot;
    Batch.Snapshot = Snapshot;
    Batch.Record.clear_entries();
  }
  answerAppend(Message, true, NewSnapshot.index());
}

void raft_core::advanceCommit() {
  std::vector<std::uint64_t> MatchIndexes;
  for (const wire::raft_member &Member : Log.config().members())
    if (Member.voter())
      MatchIndexes.push_back(matchIndexOf(Member.host_id()));
  if (MatchIndexes.empty())
    return;
  std::sort(MatchIndexes.rbegin(), MatchIndexes.rend());
  const std::uint64_t Index = MatchIndexes[quorum() - 1];
  // Raft commits entries of earlier terms only together with an entry of the
  // current term (section 5.4.2 of the Raft paper).
  if (Index <= Commit || Log.termAt(Index) != term())
    return;
  Commit = Index;
  for (auto &[HostId, FollowerProgress] : Progress)
    FollowerProgress.SendDue = true;
}

std::uint64_t raft_core::matchIndexOf(const std::string &HostId) const {
  if (HostId == Options.HostId)
    return SyncedIndex;
  const auto Found = Progress.find(HostId);
  return Found == Progress.end() ? 0 : Found->second.Match;
}

} // namespace pomelo
