//! Membership changes, one member at a time.
#include "pomeloswitch/raft/raft_core.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

wire::raft_member *find(wire::raft_config &Config, const std::string &HostId) {
  for (wire::raft_member &Member : *Config.mutable_members())
    if (Member.host_id() == HostId)
      return &Member;
  return nullptr;
}

void erase(wire::raft_config &Config, const std::string &HostId) {
  for (int Index = 0; Index < Config.members_size(); ++Index)
    if (Config.members(Index).host_id() == HostId) {
      Config.mutable_members()->DeleteSubrange(Index, 1);
      return;
    }
}

} // namespace

const wire::raft_member *
raft_core::findMember(const std::string &HostId) const {
  for (const wire::raft_member &Member : Log.config().members())
    if (Member.host_id() == HostId)
      return &Member;
  return nullptr;
}

bool raft_core::isVoter(const std::string &HostId) const {
  const wire::raft_member *Member = findMember(HostId);
  if (!Member || !Member->voter())
    return false;
  return HostId != Options.HostId ||
         Member->replica_id() == Identity.replica_id();
}

std::size_t raft_core::quorum() const {
  const auto &Members = Log.config().members();
  const auto Voters = std::count_if(
      Members.begin(), Members.end(),
      [](const wire::raft_member &Member) { return Member.voter(); });
  return static_cast<std::size_t>(Voters) / 2 + 1;
}

std::optional<std::string> raft_core::changeRefusal() const {
  if (Role != raft_role::Leader)
    return "this host is not the leader";
  if (Commit < TermStart || Commit < Log.configIndex())
    return "an earlier membership change is still in progress";
  return std::nullopt;
}

std::optional<std::string> raft_core::proposeConfig(wire::raft_config Config) {
  if (auto Refusal = changeRefusal())
    return Refusal;
  wire::raft_entry Entry;
  Entry.set_index(Log.lastIndex() + 1);
  Entry.set_term(term());
  *Entry.mutable_config() = std::move(Config);
  append(std::move(Entry));
  rebuildProgress();
  return std::nullopt;
}

std::optional<std::string>
raft_core::addLearner(const wire::raft_member &Member) {
  if (findMember(Member.host_id()))
    return fmt::format("\"{}\" is already a member", Member.host_id());
  if (!Member.replaces().empty() && !findMember(Member.replaces()))
    return fmt::format("\"{}\" is not a member", Member.replaces());
  wire::raft_config Config = Log.config();
  *Config.add_members() = Member;
  Config.mutable_members()->rbegin()->set_voter(false);
  return proposeConfig(std::move(Config));
}

std::optional<std::string> raft_core::removeMember(const std::string &HostId) {
  if (!findMember(HostId))
    return fmt::format("\"{}\" is not a member", HostId);
  if (isVoter(HostId) && quorum() == 1)
    return "the last voter cannot be removed";
  wire::raft_config Config = Log.config();
  erase(Config, HostId);
  return proposeConfig(std::move(Config));
}

void raft_core::rebuildProgress() {
  std::map<std::string, progress> Rebuilt;
  for (const wire::raft_member &Member : Log.config().members()) {
    if (Member.host_id() == Options.HostId)
      continue;
    const auto Known = Progress.find(Member.host_id());
    if (Known != Progress.end() &&
        Known->second.ReplicaId == Member.replica_id()) {
      Rebuilt.insert(*Known);
      continue;
    }
    progress &Added = Rebuilt[Member.host_id()];
    Added.ReplicaId = Member.replica_id();
    Added.Next = Log.lastIndex() + 1;
  }
  Progress = std::move(Rebuilt);
}

//! Proposes the next pending membership change: promotes a learner that has all
//! committed entries to a voter, then removes the host that it replaces. A
//! leader that is no longer a member itself steps down.
void raft_core::advanceMembership() {
  if (changeRefusal())
    return;
  wire::raft_config Config = Log.config();
  if (!find(Config, Options.HostId)) {
    Role = raft_role::Follower;
    LeaderId.clear();
    return Progress.clear();
  }
  for (wire::raft_member &Member : *Config.mutable_members()) {
    if (Member.voter() && !Member.replaces().empty()) {
      const std::string Replaced = Member.replaces();
      Member.clear_replaces();
      erase(Config, Replaced);
      proposeConfig(std::move(Config));
      return;
    }
    if (!Member.voter() && !Member.replica_id().empty() &&
        matchIndexOf(Member.host_id()) >= Commit) {
      Member.set_voter(true);
      proposeConfig(std::move(Config));
      return;
    }
  }
}

//! Handles a host whose replica id differs from the configured one because its
//! data folder is new. The entries and the vote of the earlier replica are
//! lost, so the new replica replaces it as a learner. An answer with
//! rolled_back stops this replica instead.
void raft_core::onIdentityAnswer(const wire::raft_message &Message,
                                 raft_time Now) {
  if (Message.identity_answer().rolled_back()) {
    RolledBack = Message.to_replica() == Identity.replica_id();
    return;
  }
  if (!leadershipConfirmed(Now) || changeRefusal())
    return;
  wire::raft_config Config = Log.config();
  wire::raft_member *Member = find(Config, Message.from_host());
  if (!Member || Member->replica_id() == Message.from_replica())
    return;
  Member->set_replica_id(Message.from_replica());
  Member->set_voter(false);
  proposeConfig(std::move(Config));
}

} // namespace pomelo
