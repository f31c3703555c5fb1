#include "pomeloswitch/raft/founding.hpp"

#include <algorithm>

namespace pomelo {

founding::founding(std::string HostId, std::vector<host_address> GivenMembers)
    : HostId(std::move(HostId)), Members(std::move(GivenMembers)) {
  std::sort(Members.begin(), Members.end(),
            [](const host_address &Left, const host_address &Right) {
              return Left.Id < Right.Id;
            });
}

bool founding::founder() const {
  return !Members.empty() && Members.front().Id == HostId;
}

std::vector<std::string> founding::others() const {
  std::vector<std::string> Ids;
  for (const host_address &Member : Members)
    if (Member.Id != HostId)
      Ids.push_back(Member.Id);
  return Ids;
}

void founding::answered(const wire::raft_message &Answer) {
  if (Answer.found_answer().blank())
    BlankReplicas[Answer.from_host()] = Answer.from_replica();
  else
    BlankReplicas.erase(Answer.from_host());
}

std::optional<wire::raft_config>
founding::config(const std::string &OwnReplica) const {
  if (!founder())
    return std::nullopt;
  wire::raft_config Config;
  for (const host_address &Member : Members) {
    const auto Known = BlankReplicas.find(Member.Id);
    if (Member.Id != HostId && Known == BlankReplicas.end())
      return std::nullopt;
    wire::raft_member *Added = Config.add_members();
    Added->set_host_id(Member.Id);
    Added->set_address(Member.Address);
    Added->set_replica_id(Member.Id == HostId ? OwnReplica : Known->second);
    Added->set_voter(true);
  }
  return Config;
}

} // namespace pomelo
