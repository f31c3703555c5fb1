#include "pomeloswitch/raft/group_bootstrap.hpp"

#include <algorithm>

namespace pomelo {

group_bootstrap::group_bootstrap(std::string HostId,
                                 std::vector<host_address> GivenMembers)
    : HostId(std::move(HostId)), Members(std::move(GivenMembers)) {
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
    BlankReplicas[Answer.from_host()] = Answer.from_replica();
  else
    BlankReplicas.erase(Answer.from_host());
}

std::optional<wire::raft_config>
group_bootstrap::config(const std::string &OwnReplica) const {
  if (!initiatesBootstrap())
    return std::nullopt;
  wire::raft_config Config;
  for (const host_address &Member : Members) {
    const auto Blank = BlankReplicas.find(Member.Id);
    if (Member.Id != HostId && Blank == BlankReplicas.end())
      return std::nullopt;
    wire::raft_member *Added = Config.add_members();
    Added->set_host_id(Member.Id);
    Added->set_replica_id(Member.Id == HostId ? OwnReplica : Blank->second);
    Added->set_voter(true);
  }
  return Config;
}

} // namespace pomelo
