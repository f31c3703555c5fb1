#include "pomeloswitch/raft/raft_core.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

bool isRequest(const wire::raft_message &Message) {
  return Message.has_append_request() || Message.has_vote_request() ||
         Message.has_snapshot_request() || Message.has_join_request();
}

} // namespace

raft_core::raft_core(options GivenOptions, stored_state Stored, raft_time Now)
    : Options(std::move(GivenOptions)), Identity(std::move(Stored.Identity)),
      Vote(std::move(Stored.Vote)), DurableTerm(Vote.term()), StartedAt(Now),
      LastLeaderContact(Now) {
  for (const host_address &Known : Options.KnownHosts)
    KnownHosts[Known.Id] = Known.Address;
  if (Stored.Snapshot) {
    Snapshot = std::make_shared<const wire::raft_snapshot>(
        std::move(*Stored.Snapshot));
    Log.reset(*Snapshot);
    Commit = LastTaken = Snapshot->index();
    SnapshotToInstall = Snapshot;
  }
  for (const wire::raft_entry &Entry : Stored.Entries)
    Log.truncateAndAppend(Entry);
  SyncedIndex = Log.lastIndex();
  SyncedTerm = Log.lastTerm();
  // The current leader may rely on a vote refusal that an earlier process on
  // this folder promised, so a restarted host refuses votes as if it had just
  // heard from a leader. A blank host has never made such a promise.
  if (blank())
    LastLeaderContact = raft_time();
  resetElectionTimer(Now);
}

void raft_core::tick(raft_time Now) {
  if (RolledBack)
    return;
  if (Role == raft_role::Leader) {
    const raft_time LastConfirmed =
        std::max(lastQuorumContact(Now), LeaderSince);
    if (Now - LastConfirmed >= Options.Times.ElectionMin)
      return becomeFollower(term(), {}, Now);
    advanceMembership(Now);
    if (Now < HeartbeatDue)
      return;
    HeartbeatDue = Now + Options.Times.Heartbeat;
    for (auto &[HostId, FollowerProgress] : Progress)
      FollowerProgress.SendDue = true;
    return;
  }
  askToJoin(Now);
  if (Now >= ElectionDue && isVoter(Options.HostId))
    startPreVote(Now);
}

void raft_core::receive(const wire::raft_message &Message, raft_time Now) {
  if (RolledBack || Message.to_host() != Options.HostId)
    return;
  if (!Message.to_replica().empty() &&
      Message.to_replica() != Identity.replica_id()) {
    if (isRequest(Message)) {
      wire::raft_message Answer = makeMessage(Message.from_host());
      Answer.mutable_identity_answer();
      send(std::move(Answer));
    }
    return;
  }
  if (validateSender(Message))
    dispatch(Message, Now);
}

bool raft_core::validateSender(const wire::raft_message &Message) {
  const peer_status Status = RollbackDetector.check(Message);
  if (Status == peer_status::RolledBack) {
    wire::raft_message Answer = makeMessage(Message.from_host());
    Answer.set_to_replica(Message.from_replica());
    Answer.mutable_identity_answer()->set_rolled_back(true);
    send(std::move(Answer));
  }
  if (Status != peer_status::Current)
    return false;
  if (Message.has_identity_answer())
    return true;
  // This host may lag behind the change that took the sender's new replica in.
  // A replica asks for votes or leads only once its own log names it a voter,
  // and the checks of term and log decide the rest. Answers count only from the
  // replicas of this host's configuration.
  if (isRequest(Message))
    return true;
  const wire::raft_member *Member = findMember(Message.from_host());
  return !Member || Member->replica_id().empty() ||
         Member->replica_id() == Message.from_replica();
}

void raft_core::dispatch(const wire::raft_message &Message, raft_time Now) {
  switch (Message.body_case()) {
  case wire::raft_message::kVoteRequest:
    return onVoteRequest(Message, Now);
  case wire::raft_message::kVoteAnswer:
    return onVoteAnswer(Message, Now);
  case wire::raft_message::kAppendRequest:
    return onAppendRequest(Message, Now);
  case wire::raft_message::kAppendAnswer:
    return onAppendAnswer(Message, Now);
  case wire::raft_message::kSnapshotRequest:
    return onSnapshotRequest(Message, Now);
  case wire::raft_message::kIdentityAnswer:
    return onIdentityAnswer(Message, Now);
  case wire::raft_message::kJoinRequest:
    return onJoinRequest(Message, Now);
  case wire::raft_message::kJoinAnswer:
    return onJoinAnswer(Message);
  default:
    return;
  }
}

wire::raft_message raft_core::makeMessage(const std::string &ToHost) const {
  wire::raft_message Message;
  Message.set_from_host(Options.HostId);
  Message.set_from_replica(Identity.replica_id());
  Message.set_to_host(ToHost);
  if (const wire::raft_member *Member = findMember(ToHost))
    Message.set_to_replica(Member->replica_id());
  // The message reports only durable state, because a later process on the same
  // folder must be able to report at least as much.
  Message.set_term(term());
  Message.set_starts(Identity.starts());
  Message.set_run_id(Options.RunId);
  Message.set_durable_index(SyncedIndex);
  Message.set_durable_term(SyncedTerm);
  return Message;
}

void raft_core::send(wire::raft_message Message) {
  if (DurableTerm < term())
    OutgoingAfterSync.push_back(std::move(Message));
  else
    Outgoing.push_back(std::move(Message));
}

void raft_core::sendAfterSync(wire::raft_message Message) {
  OutgoingAfterSync.push_back(std::move(Message));
}

void raft_core::setTerm(std::uint64_t Term, const std::string &VotedFor) {
  Vote.set_term(Term);
  Vote.set_voted_for(VotedFor);
  *Batch.Record.mutable_vote() = Vote;
  Batch.VoteChanged = true;
}

void raft_core::append(wire::raft_entry Entry) {
  Log.truncateAndAppend(Entry);
  SyncedIndex = std::min(SyncedIndex, Entry.index() - 1);
  SyncedTerm = Log.termAt(SyncedIndex).value_or(0);
  *Batch.Record.add_entries() = std::move(Entry);
}

void raft_core::bootstrap(const wire::raft_config &Config, raft_time Now) {
  if (!blank())
    return;
  setTerm(1, {});
  wire::raft_entry Entry;
  Entry.set_index(1);
  Entry.set_term(1);
  *Entry.mutable_config() = Config;
  append(std::move(Entry));
  resetElectionTimer(Now);
}

std::optional<std::uint64_t> raft_core::propose(std::string Command) {
  if (Role != raft_role::Leader)
    return std::nullopt;
  wire::raft_entry Entry;
  Entry.set_index(Log.lastIndex() + 1);
  Entry.set_term(term());
  Entry.set_command(std::move(Command));
  const std::uint64_t Index = Entry.index();
  append(std::move(Entry));
  return Index;
}

void raft_core::compact(std::uint64_t Index, std::string State,
                        std::uint64_t DropUpTo) {
  auto NewSnapshot = std::make_shared<wire::raft_snapshot>();
  NewSnapshot->set_index(Index);
  NewSnapshot->set_term(Log.termAt(Index).value_or(0));
  *NewSnapshot->mutable_config() = Log.configAt(Index);
  NewSnapshot->set_state(std::move(State));
  Snapshot = std::move(NewSnapshot);
  Log.dropUpTo(DropUpTo);
  Batch.Snapshot = Snapshot;
}

storage_batch raft_core::takeBatch() {
  storage_batch Taken = std::exchange(Batch, storage_batch());
  if (Taken.Snapshot)
    for (std::uint64_t Index = Taken.Snapshot->index() + 1;
         Index <= Log.lastIndex(); ++Index)
      Taken.EntriesAfterSnapshot.push_back(Log.at(Index));
  // Every batch contains the vote so that older segments can be deleted.
  *Taken.Record.mutable_vote() = Vote;
  Taken.SendAfter = std::exchange(OutgoingAfterSync, {});
  Taken.LastIndex = Log.lastIndex();
  Taken.LastTerm = Log.lastTerm();
  Taken.Term = term();
  for (wire::raft_message &Message : Taken.SendAfter) {
    Message.set_durable_index(Taken.LastIndex);
    Message.set_durable_term(Taken.LastTerm);
  }
  return Taken;
}

void raft_core::synced(const storage_batch &Synced, raft_time Now) {
  DurableTerm = std::max(DurableTerm, Synced.Term);
  // If the entry was replaced during the sync, the durable entry is not the
  // current one.
  if (Log.termAt(Synced.LastIndex) == Synced.LastTerm &&
      Synced.LastIndex > SyncedIndex) {
    SyncedIndex = Synced.LastIndex;
    SyncedTerm = Synced.LastTerm;
  }
  if (Role == raft_role::Candidate && Synced.Term == term())
    countVote(Options.HostId, Now);
  if (Role == raft_role::Leader)
    advanceCommit();
}

std::vector<wire::raft_message> raft_core::takeMessages(raft_time Now) {
  if (Role == raft_role::Leader)
    for (const wire::raft_member &Member : Log.config().members())
      if (Member.host_id() != Options.HostId)
        replicateTo(Member, Now);
  return std::exchange(Outgoing, {});
}

std::vector<wire::raft_entry> raft_core::takeCommitted() {
  std::vector<wire::raft_entry> Taken;
  while (LastTaken < std::min(Commit, Log.lastIndex()))
    Taken.push_back(Log.at(++LastTaken));
  return Taken;
}

std::shared_ptr<const wire::raft_snapshot> raft_core::takeSnapshotToInstall() {
  return std::exchange(SnapshotToInstall, nullptr);
}

} // namespace pomelo
