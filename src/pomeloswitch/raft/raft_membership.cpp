//! The group's configuration, changed by one member at a time.
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
  for (int Place = 0; Place < Config.members_size(); ++Place)
    if (Config.members(Place).host_id() == HostId) {
      Config.mutable_members()->DeleteSubrange(Place, 1);
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
    return "this host does not lead";
  if (Commit < TermStart || Commit < Log.configIndex())
    return "an earlier change of the group is still under way";
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
  fitProgress();
  return std::nullopt;
}

std::optional<std::string>
raft_core::addLearner(const wire::raft_member &Member) {
  if (findMember(Member.host_id()))
    return fmt::format("\"{}\" is a member already", Member.host_id());
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

void raft_core::fitProgress() {
  std::map<std::string, progress> Fitted;
  for (const wire::raft_member &Member : Log.config().members()) {
    if (Member.host_id() == Options.HostId)
      continue;
    const auto Known = Progress.find(Member.host_id());
    if (Known != Progress.end() &&
        Known->second.ReplicaId == Member.replica_id()) {
      Fitted.insert(*Known);
      continue;
    }
    progress &Fresh = Fitted[Member.host_id()];
    Fresh.ReplicaId = Member.replica_id();
    Fresh.Next = Log.lastIndex() + 1;
  }
  Progress = std::move(Fitted);
}

//! Makes the next change that follows from the configuration: a learner that
//! holds all that is committed becomes a voter, then the host that it replaces
//! is removed. A leader that is itself no longer a member steps down.
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
        matchOf(Member.host_id()) >= Commit) {
      Member.set_voter(true);
      proposeConfig(std::move(Config));
      return;
    }
  }
}

//! Another replica than the recorded one runs as this host: its data folder is
//! new. What the recorded one held and voted for is gone, so the new one takes
//! its place as a learner.
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
