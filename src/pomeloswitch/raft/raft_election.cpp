//! Elections and the leader lease.
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
  const auto Range = static_cast<std::uint64_t>(
      (Options.Times.ElectionMax - Options.Times.ElectionMin).count());
  ElectionDue = Now + Options.Times.ElectionMin +
                std::chrono::milliseconds(Options.Random() % (Range + 1));
}

void raft_core::startPreVote(raft_time Now) {
  Role = raft_role::PreCandidate;
  LeaderId.clear();
  Votes.clear();
  resetElectionTimer(Now);
  requestVotes(true);
  countVote(Options.HostId, Now);
}

//! This host's own vote is counted by synced() once it is durable.
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
  const std::uint64_t RequestedTerm =
      Message.term() + (Request.pre_vote() ? 1 : 0);
  const bool UpToDate = std::tuple(Request.last_term(), Request.last_index()) >=
                        std::tuple(Log.lastTerm(), Log.lastIndex());
  bool Granted = false;
  if (!hasLiveLeader(Now)) {
    if (Request.pre_vote()) {
      Granted = RequestedTerm > term() && UpToDate;
    } else {
      if (RequestedTerm > term())
        becomeFollower(RequestedTerm, {}, Now);
      Granted =
          RequestedTerm == term() && UpToDate &&
          (Vote.voted_for().empty() || Vote.voted_for() == Message.from_host());
    }
  }
  if (Granted && !Request.pre_vote()) {
    if (Vote.voted_for().empty())
      setTerm(RequestedTerm, Message.from_host());
    resetElectionTimer(Now);
  }
  wire::raft_message Answer = makeMessage(Message.from_host());
  Answer.set_to_replica(Message.from_replica());
  Answer.mutable_vote_answer()->set_pre_vote(Request.pre_vote());
  Answer.mutable_vote_answer()->set_granted(Granted);
  sendAfterSync(std::move(Answer));
}

void raft_core::onVoteAnswer(const wire::raft_message &Message, raft_time Now) {
  if (Message.term() > term())
    return becomeFollower(Message.term(), {}, Now);
  const wire::vote_answer &Answer = Message.vote_answer();
  const auto ExpectedRole =
      Answer.pre_vote() ? raft_role::PreCandidate : raft_role::Candidate;
  const bool TermMatches = Answer.pre_vote() || Message.term() == term();
  if (Role == ExpectedRole && TermMatches && Answer.granted())
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
  wire::raft_entry NoOp;
  NoOp.set_index(Log.lastIndex() + 1);
  NoOp.set_term(term());
  TermStart = NoOp.index();
  append(std::move(NoOp));
  rebuildProgress();
}

bool raft_core::hasLiveLeader(raft_time Now) const {
  const raft_time LastContact =
      Role == raft_role::Leader ? lastQuorumContact(Now) : LastLeaderContact;
  return Now - LastContact < Options.Times.ElectionMin;
}

raft_time raft_core::lastQuorumContact(raft_time Now) const {
  std::vector<raft_time> SendTimes;
  for (const wire::raft_member &Member : Log.config().members()) {
    if (!Member.voter())
      continue;
    const auto Found = Progress.find(Member.host_id());
    if (Member.host_id() == Options.HostId)
      SendTimes.push_back(Now);
    else
      SendTimes.push_back(Found == Progress.end()
                              ? raft_time()
                              : Found->second.LastAnsweredSendTime);
  }
  if (SendTimes.empty())
    return raft_time();
  std::sort(SendTimes.rbegin(), SendTimes.rend());
  return SendTimes[quorum() - 1];
}

bool raft_core::leadershipConfirmed(raft_time Now) const {
  return Role == raft_role::Leader && !RolledBack && Commit >= TermStart &&
         Now - lastQuorumContact(Now) < Options.Times.LeaderLease;
}

} // namespace pomelo
