//! Elections and the leader's lease.
#include "pomeloswitch/raft/raft_core.hpp"

#include <algorithm>
#include <tuple>

namespace pomelo {

void raft_core::becomeFollower(std::uint64_t Term, const std::string &Leader,
                               raft_time Now) {
  if (Term > term())
    setTerm(Term, {});
  if (Role == raft_role::Leader || !Leader.empty())
    resetElectionTimer(Now);
  Role = raft_role::Follower;
  LeaderId = Leader;
  Progress.clear();
}

void raft_core::resetElectionTimer(raft_time Now) {
  const auto Spread = static_cast<std::uint64_t>(
      (Options.Times.ElectionMax - Options.Times.ElectionMin).count());
  ElectionDue = Now + Options.Times.ElectionMin +
                std::chrono::milliseconds(Options.Random() % (Spread + 1));
}

void raft_core::startPreVote(raft_time Now) {
  Role = raft_role::PreCandidate;
  LeaderId.clear();
  Votes.clear();
  resetElectionTimer(Now);
  requestVotes(true);
  countVote(Options.HostId, Now);
}

//! The own vote counts once it is durable, see synced().
void raft_core::startElection(raft_time Now) {
  Role = raft_role::Candidate;
  Votes.clear();
  setTerm(term() + 1, Options.HostId);
  resetElectionTimer(Now);
  requestVotes(false);
}

void raft_core::requestVotes(bool PreVote) {
  for (const wire::raft_member &Member : Log.config().members()) {
    if (!Member.voter() || Member.host_id() == Options.HostId)
      continue;
    wire::raft_message Message = makeMessage(Member.host_id());
    auto *Request = Message.mutable_vote_request();
    Request->set_pre_vote(PreVote);
    Request->set_last_index(Log.lastIndex());
    Request->set_last_term(Log.lastTerm());
    send(std::move(Message));
  }
}

void raft_core::onVoteRequest(const wire::raft_message &Message,
                              raft_time Now) {
  const wire::vote_request &Request = Message.vote_request();
  const std::uint64_t ForTerm = Message.term() + (Request.pre_vote() ? 1 : 0);
  const bool UpToDate = std::tuple(Request.last_term(), Request.last_index()) >=
                        std::tuple(Log.lastTerm(), Log.lastIndex());
  bool Granted = false;
  if (!hearsLeader(Now)) {
    if (Request.pre_vote()) {
      Granted = ForTerm > term() && UpToDate;
    } else {
      if (ForTerm > term())
        becomeFollower(ForTerm, {}, Now);
      Granted =
          ForTerm == term() && UpToDate &&
          (Vote.voted_for().empty() || Vote.voted_for() == Message.from_host());
    }
  }
  if (Granted && !Request.pre_vote()) {
    if (Vote.voted_for().empty())
      setTerm(ForTerm, Message.from_host());
    resetElectionTimer(Now);
  }
  wire::raft_message Answer = makeMessage(Message.from_host());
  Answer.set_to_replica(Message.from_replica());
  Answer.mutable_vote_answer()->set_pre_vote(Request.pre_vote());
  Answer.mutable_vote_answer()->set_granted(Granted);
  answer(std::move(Answer));
}

void raft_core::onVoteAnswer(const wire::raft_message &Message, raft_time Now) {
  if (Message.term() > term())
    return becomeFollower(Message.term(), {}, Now);
  const wire::vote_answer &Answer = Message.vote_answer();
  const auto Asked =
      Answer.pre_vote() ? raft_role::PreCandidate : raft_role::Candidate;
  const bool ThisTerm = Answer.pre_vote() || Message.term() == term();
  if (Role == Asked && ThisTerm && Answer.granted())
    countVote(Message.from_host(), Now);
}

void raft_core::countVote(const std::string &HostId, raft_time Now) {
  if (!isVoter(HostId))
    return;
  Votes.insert(HostId);
  if (Votes.size() < quorum())
    return;
  if (Role == raft_role::PreCandidate)
    startElection(Now);
  else
    becomeLeader(Now);
}

void raft_core::becomeLeader(raft_time Now) {
  Role = raft_role::Leader;
  LeaderId = Options.HostId;
  LeaderSince = Now;
  HeartbeatDue = Now;
  Progress.clear();
  wire::raft_entry NoChange;
  NoChange.set_index(Log.lastIndex() + 1);
  NoChange.set_term(term());
  TermStart = NoChange.index();
  append(std::move(NoChange));
  fitProgress();
}

bool raft_core::hearsLeader(raft_time Now) const {
  const raft_time Heard =
      Role == raft_role::Leader ? quorumAnsweredAt(Now) : HeardLeaderAt;
  return Now - Heard < Options.Times.ElectionMin;
}

raft_time raft_core::quorumAnsweredAt(raft_time Now) const {
  std::vector<raft_time> Answered;
  for (const wire::raft_member &Member : Log.config().members()) {
    if (!Member.voter())
      continue;
    const auto Found = Progress.find(Member.host_id());
    if (Member.host_id() == Options.HostId)
      Answered.push_back(Now);
    else
      Answered.push_back(
          Found == Progress.end() ? raft_time() : Found->second.AnsweredSentAt);
  }
  if (Answered.empty())
    return raft_time();
  std::sort(Answered.rbegin(), Answered.rend());
  return Answered[quorum() - 1];
}

bool raft_core::leadershipConfirmed(raft_time Now) const {
  return Role == raft_role::Leader && !RolledBack && Commit >= TermStart &&
         Now - quorumAnsweredAt(Now) < Options.Times.LeaderLease;
}

} // namespace pomelo
