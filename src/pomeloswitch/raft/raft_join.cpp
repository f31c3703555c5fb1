//! How a host that the group does not count any more, or never did, is taken in
//! as a learner.
#include "pomeloswitch/raft/raft_core.hpp"

#include <algorithm>

namespace pomelo {

//! A host that was down while it was removed must be able to ask those who
//! came after it.
void raft_core::learnHosts() {
  for (const wire::raft_member &Member : Log.config().members())
    if (!Member.address().empty())
      KnownHosts.emplace(Member.host_id(), Member.address());
}

bool raft_core::mayAskToJoin(raft_time Now) const {
  if (Now < JoinDue || followsLeader(Now))
    return false;
  if (blank())
    return !Options.MayFound;
  return Now - std::max(LastLeaderContact, StartedAt) >=
         Options.Times.JoinAfter;
}

void raft_core::askToJoin(raft_time Now) {
  if (!mayAskToJoin(Now))
    return;
  JoinDue = Now + Options.Times.JoinInterval;
  learnHosts();
  for (const auto &[HostId, Address] : KnownHosts) {
    if (HostId == Options.HostId)
      continue;
    wire::raft_message Message = makeMessage(HostId);
    Message.clear_to_replica();
    Message.mutable_join_request()->set_address(Options.Address);
    Message.mutable_join_request()->set_failure_domain(Options.FailureDomain);
    Message.mutable_join_request()->set_first_start(Options.FirstStart);
    send(std::move(Message));
  }
}

void raft_core::onJoinRequest(const wire::raft_message &Message,
                              raft_time Now) {
  wire::raft_message Answer = makeMessage(Message.from_host());
  Answer.set_to_replica(Message.from_replica());
  auto *Join = Answer.mutable_join_answer();
  if (leadershipConfirmed(Now))
    if (const auto Refusal = takeIn(Message, Now))
      Join->set_refusal(*Refusal);
  learnHosts();
  for (const wire::raft_member &Member : Log.config().members()) {
    const auto Known = KnownHosts.find(Member.host_id());
    if (Known == KnownHosts.end())
      continue;
    auto *Named = Join->add_members();
    Named->set_id(Known->first);
    Named->set_address(Known->second);
  }
  send(std::move(Answer));
}

void raft_core::onJoinAnswer(const wire::raft_message &Message) {
  if (!Message.join_answer().refusal().empty())
    JoinRefusal = Message.join_answer().refusal();
  for (const wire::control_address &Member : Message.join_answer().members())
    KnownHosts.emplace(Member.id(), Member.address());
}

std::optional<std::string> raft_core::takeIn(const wire::raft_message &Message,
                                             raft_time Now) {
  const std::string &HostId = Message.from_host();
  const std::string &ReplicaId = Message.from_replica();
  const wire::raft_member *Known = findMember(HostId);
  if (Known && Known->replica_id() == ReplicaId)
    return std::nullopt;
  const auto &Removed = Log.config().removed_replicas();
  if (std::find(Removed.begin(), Removed.end(), ReplicaId) != Removed.end())
    return "an operator has removed this replica; empty its data folder to "
           "rejoin";
  if (auto Refusal = changeRefusal())
    return Refusal;
  if (Known) {
    onIdentityAnswer(Message, Now);
    return std::nullopt;
  }
  wire::raft_config Config = Log.config();
  if (Config.voters_wanted() == 0)
    Config.set_voters_wanted(static_cast<std::uint32_t>(voterCount()));
  wire::raft_member &Member = *Config.add_members();
  Member.set_host_id(HostId);
  Member.set_replica_id(ReplicaId);
  Member.set_address(Message.join_request().address());
  Member.set_failure_domain(Message.join_request().failure_domain());
  // Only a new host stands in for another: one that was replaced and comes back
  // would else take its place again.
  if (Message.term() == 0 && Message.durable_index() == 0 &&
      !Message.join_request().first_start())
    Member.set_replaces(replaceableVoterIn(Member.failure_domain(), Now));
  return proposeConfig(std::move(Config));
}

std::string raft_core::replaceableVoterIn(const std::string &FailureDomain,
                                          raft_time Now) const {
  if (FailureDomain.empty())
    return {};
  std::string Found;
  for (const wire::raft_member &Member : Log.config().members()) {
    if (!Member.voter() || Member.failure_domain() != FailureDomain)
      continue;
    if (!Found.empty())
      return {};
    Found = Member.host_id();
  }
  for (const wire::raft_member &Member : Log.config().members())
    if (!Member.voter() && Member.replaces() == Found &&
        silence(Member.host_id(), Now) < Options.Times.ReplaceWithinDomain)
      return {};
  return Found;
}

} // namespace pomelo
