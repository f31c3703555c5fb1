//! Bootstraps a new group of control hosts.
//!
//! Only hosts that hold the right to found, given at the first start of the
//! whole system, take part, and only with the members named then. The initial
//! member with the lowest id asks the other initial members for their replica
//! ids. It creates the group once all of them have reported that they are
//! blank, i.e. have never stored a vote, entry or snapshot. A host that lost
//! its data folder finds members that are not blank; it creates no second group
//! but waits until the leader adds it as a learner.
//!
//! A group that is to bear more losses than its initial members allow wants
//! more voters: learners take the places as they join.
#ifndef POMELOSWITCH_RAFT_GROUP_BOOTSTRAP_HPP
#define POMELOSWITCH_RAFT_GROUP_BOOTSTRAP_HPP

#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

//! Collects the replica ids of the initial members on the host that creates
//! the group.
class group_bootstrap {
public:
  //! \p ToleratedLosses is the number of hosts that the group must be able to
  //! lose at once, with their disks.
  group_bootstrap(std::string HostId, std::vector<host_address> Members,
                  unsigned ToleratedLosses = 0);

  //! Returns whether this host is the initial member that creates the group.
  [[nodiscard]] bool initiatesBootstrap() const;
  //! Returns the ids of all initial members except this host.
  [[nodiscard]] std::vector<std::string> otherMembers() const;

  //! Records whether the sender of a found_answer is blank.
  void recordAnswer(const wire::raft_message &Answer);

  //! Returns the initial configuration, or nullopt on any other host and until
  //! the last answer of every other member was blank. \p OwnReplica and
  //! \p OwnDomain are the replica id and failure domain of this host.
  [[nodiscard]] std::optional<wire::raft_config>
  config(const std::string &OwnReplica, const std::string &OwnDomain) const;

private:
  struct blank_member {
    std::string ReplicaId;
    std::string FailureDomain;
  };

  std::string HostId;
  std::vector<host_address> Members;
  unsigned ToleratedLosses;
  std::map<std::string, blank_member> BlankMembers; //!< By host id.
};

} // namespace pomelo

#endif
