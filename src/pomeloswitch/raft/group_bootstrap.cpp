#include "pomeloswitch/raft/group_bootstrap.hpp"

#include <algorithm>

namespace pomelo {

group_bootstrap::group_bootstrap(std::string HostId,
                                 std::vector<host_address> GivenMembers,
                                 unsigned ToleratedLosses)
    : HostId(std::move(HostId)), Members(std::move(GivenMembers)),
      ToleratedLosses(ToleratedLosses) {
  std::sort(Members.begin(), Members.end(),
            [](const host_address &Left, const host_address &Right) {
              return Left.Id < Right.Id;
            });
}

bool group_bootstrap::initiatesBootstrap() const {
  return !Members.empty() && Members.front().Id == HostId;
}

std::vector<std::string> group_bootstrap::otherMembers() const {
  std::vector<std::string> Ids;
  for (const host_address &Member : Members)
    if (Member.Id != HostId)
      Ids.push_back(Member.Id);
  return Ids;
}

void group_bootstrap::recordAnswer(const wire::raft_message &Answer) {
  if (Answer.found_answer().blank())
    BlankMembers[Answer.from_host()] = {Answer.from_replica(),
                                        Answer.found_answer().failure_domain()};
  else
    BlankMembers.erase(Answer.from_host());
}

std::optional<wire::raft_config>
group_bootstrap::config(const std::string &OwnReplica,
                        const std::string &OwnDomain) const {
  if (!initiatesBootstrap())
    return std::nullopt;
  wire::raft_config Config;
  for (const host_address &Member : Members) {
    const auto Blank = BlankMembers.find(Member.Id);
    if (Member.Id != HostId && Blank == BlankMembers.end())
      return std::nullopt;
    const blank_member Found = Member.Id == HostId
                                   ? blank_member{OwnReplica, OwnDomain}
                                   : Blank->second;
    wire::raft_member *Added = Config.add_members();
    Added->set_host_id(Member.Id);
    Added->set_address(Member.Address);
    Added->set_replica_id(Found.ReplicaId);
    Added->set_failure_domain(Found.FailureDomain);
    Added->set_voter(true);
  }
  // A majority must be left, and with it every acknowledged entry.
  const unsigned Needed = 2 * ToleratedLosses + 1;
  Config.set_voters_wanted(
      std::max(static_cast<unsigned>(Members.size()), Needed));
  return Config;
}

} // namespace pomelo
