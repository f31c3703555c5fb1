//! Membership changes, one member at a time.
//!
//! The group grows to the number of voters that it was founded for and keeps
//! it. Further members are learners, which stand in for voters that are lost.
//! Voters are spread over the failure domains.
#include "pomeloswitch/raft/raft_core.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

constexpr int MaxRemovedReplicas = 16;

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

std::size_t raft_core::voterCount() const {
  const auto &Members = Log.config().members();
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(),
      [](const wire::raft_member &Member) { return Member.voter(); }));
}

std::size_t raft_core::quorum() const { return voterCount() / 2 + 1; }

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
  if (!Member.replaces().empty() && !findMember(Member.replaces()))
    return fmt::format("\"{}\" is not a member", Member.replaces());
  wire::raft_config Config = Log.config();
  wire::raft_member *Added = find(Config, Member.host_id());
  if (Added && Added->voter())
    return fmt::format("\"{}\" is already a member", Member.host_id());
  if (!Added) {
    Added = Config.add_members();
    *Added = Member;
    Added->set_voter(false);
  }
  Added->set_replaces(Member.replaces());
  if (Member.replaces().empty() && Config.voters_wanted() > 0)
    Config.set_voters_wanted(std::max(
        Config.voters_wanted(), static_cast<std::uint32_t>(voterCount()) + 1));
  return proposeConfig(std::move(Config));
}

std::optional<std::string> raft_core::removeMember(const std::string &HostId) {
  const wire::raft_member *Removed = findMember(HostId);
  if (!Removed)
    return fmt::format("\"{}\" is not a member", HostId);
  if (isVoter(HostId) && quorum() == 1)
    return "the last voter cannot be removed";
  wire::raft_config Config = Log.config();
  if (!Removed->replica_id().empty()) {
    Config.add_removed_replicas(Removed->replica_id());
    if (Config.removed_replicas_size() > MaxRemovedReplicas)
      Config.mutable_removed_replicas()->DeleteSubrange(0, 1);
  }
  const auto Left = static_cast<std::uint32_t>(Config.members_size()) - 1;
  const std::uint32_t Wanted =
      Config.voters_wanted() - (Removed->voter() && Config.voters_wanted() > 0);
  Config.set_voters_wanted(std::min(Wanted, Left));
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

//! Proposes the next pending membership change, if there is one. A leader that
//! is no longer a member itself steps down.
void raft_core::advanceMembership(raft_time Now) {
  for (auto &[HostId, Member] : Progress)
    if (Member.AddedAt == raft_time())
      Member.AddedAt = Now;
  if (changeRefusal())
    return;
  if (!findMember(Options.HostId)) {
    Role = raft_role::Follower;
    LeaderId.clear();
    return Progress.clear();
  }
  if (!removeReplacedVoter(Now) && !promoteLearner(Now))
    removeSilentLearner(Now);
}

//! Ends a replacement: the replaced voter goes, unless it answers and the new
//! one does not any more.
bool raft_core::removeReplacedVoter(raft_time Now) {
  for (const wire::raft_member &Member : Log.config().members()) {
    if (!Member.voter() || Member.replaces().empty())
      continue;
    const std::string &Replaced = Member.replaces();
    const std::string &New = Member.host_id();
    const bool KeepOld = silence(New, Now) >= Options.Times.ElectionMax &&
                         silence(Replaced, Now) < Options.Times.ElectionMax &&
                         findMember(Replaced);
    wire::raft_config Config = Log.config();
    find(Config, New)->clear_replaces();
    erase(Config, KeepOld ? New : Replaced);
    proposeConfig(std::move(Config));
    return true;
  }
  return false;
}

//! Makes a learner that has all committed entries a voter: in an empty place,
//! or in that of the voter that it replaces. A silent one leaves its place
//! first, so that the group needs no more votes meanwhile; one that answers
//! leaves after, so that the group never bears less.
bool raft_core::promoteLearner(raft_time Now) {
  const std::uint32_t Wanted = Log.config().voters_wanted();
  const bool PlaceFree = Wanted == 0 || voterCount() < Wanted;
  for (const wire::raft_member *Member : readyLearners(Now)) {
    std::string Replaced =
        findMember(Member->replaces()) ? Member->replaces() : std::string();
    if (!PlaceFree && Replaced.empty())
      Replaced = lostVoterFor(*Member, Now).value_or("");
    if (!PlaceFree && Replaced.empty())
      Replaced = crowdedVoterFor(*Member).value_or("");
    if (!PlaceFree && Replaced.empty())
      continue;
    const bool FreesPlace = !PlaceFree && isVoter(Replaced) &&
                            silence(Replaced, Now) >= Options.Times.ElectionMax;
    if (!FreesPlace && !majorityWithOneMore(Now))
      return false;
    wire::raft_config Config = Log.config();
    wire::raft_member &Learner = *find(Config, Member->host_id());
    Learner.set_replaces(FreesPlace ? std::string() : Replaced);
    Learner.set_voter(!FreesPlace);
    if (FreesPlace)
      erase(Config, Replaced);
    proposeConfig(std::move(Config));
    return true;
  }
  return false;
}

//! Those of failure domains with the fewest voters come first.
std::vector<const wire::raft_member *>
raft_core::readyLearners(raft_time Now) const {
  std::vector<const wire::raft_member *> Ready;
  for (const wire::raft_member &Member : Log.config().members())
    if (!Member.voter() && isReady(Member, Now))
      Ready.push_back(&Member);
  std::stable_sort(Ready.begin(), Ready.end(),
                   [this](const auto *Left, const auto *Right) {
                     return votersIn(Left->failure_domain()) <
                            votersIn(Right->failure_domain());
                   });
  return Ready;
}

std::size_t raft_core::votersIn(const std::string &FailureDomain) const {
  const auto &Members = Log.config().members();
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(), [&](const wire::raft_member &Member) {
        return Member.voter() && Member.failure_domain() == FailureDomain;
      }));
}

std::optional<std::string>
raft_core::crowdedVoterFor(const wire::raft_member &Learner) const {
  if (Learner.failure_domain().empty())
    return std::nullopt;
  std::optional<std::string> Crowded;
  // The move of a single voter must make the domains more even.
  std::size_t Most = votersIn(Learner.failure_domain()) + 1;
  for (const wire::raft_member &Member : Log.config().members()) {
    if (!Member.voter() || Member.host_id() == Options.HostId ||
        Member.failure_domain().empty())
      continue;
    const std::size_t Voters = votersIn(Member.failure_domain());
    if (Voters <= Most)
      continue;
    Most = Voters;
    Crowded = Member.host_id();
  }
  return Crowded;
}

bool raft_core::isReady(const wire::raft_member &Learner, raft_time Now) const {
  return !Learner.replica_id().empty() &&
         matchIndexOf(Learner.host_id()) >= Commit &&
         silence(Learner.host_id(), Now) < Options.Times.ElectionMax;
}

raft_time::duration raft_core::silence(const std::string &HostId,
                                       raft_time Now) const {
  const auto Found = Progress.find(HostId);
  if (Found == Progress.end())
    return {};
  return Now -
         std::max(Found->second.LastAnsweredSendTime, Found->second.AddedAt);
}

bool raft_core::majorityWithOneMore(raft_time Now) const {
  const auto &Members = Log.config().members();
  const auto InTouch = std::count_if(
      Members.begin(), Members.end(), [&](const wire::raft_member &Member) {
        return Member.voter() &&
               silence(Member.host_id(), Now) < Options.Times.ElectionMax;
      });
  return static_cast<std::size_t>(InTouch) + 1 >= (voterCount() + 1) / 2 + 1;
}

std::optional<std::string>
raft_core::lostVoterFor(const wire::raft_member &Learner, raft_time Now) const {
  std::optional<std::string> Lost;
  raft_time::duration Longest{};
  for (const wire::raft_member &Member : Log.config().members()) {
    if (!Member.voter())
      continue;
    const bool Near = !Learner.failure_domain().empty() &&
                      Learner.failure_domain() == Member.failure_domain();
    const raft_time::duration Silence = silence(Member.host_id(), Now);
    if (Silence < (Near ? Options.Times.ReplaceWithinDomain
                        : Options.Times.ReplaceAcrossDomains) ||
        Silence <= Longest)
      continue;
    Longest = Silence;
    Lost = Member.host_id();
  }
  return Lost;
}

//! Drops a learner that is not needed and does not answer, such as a replaced
//! host that is gone. One that comes back asks to be taken in.
bool raft_core::removeSilentLearner(raft_time Now) {
  const std::uint32_t Wanted = Log.config().voters_wanted();
  if (Wanted == 0 || voterCount() < Wanted)
    return false;
  for (const wire::raft_member &Member : Log.config().members()) {
    if (Member.voter() ||
        silence(Member.host_id(), Now) < Options.Times.ReplaceAcrossDomains)
      continue;
    wire::raft_config Config = Log.config();
    erase(Config, Member.host_id());
    proposeConfig(std::move(Config));
    return true;
  }
  return false;
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
