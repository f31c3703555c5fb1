//! Founding a new group of control hosts.
//!
//! The founding member with the lowest id asks the others for their replica
//! ids and founds the group once all of them are blank. A host that has lost
//! its data folder meets members that are not blank, and so waits to be taken
//! in as a learner.
#ifndef POMELOSWITCH_RAFT_FOUNDING_HPP
#define POMELOSWITCH_RAFT_FOUNDING_HPP

#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

class founding {
public:
  founding(std::string HostId, std::vector<host_address> Members);

  //! Whether this host is the one that founds the group.
  [[nodiscard]] bool founder() const;
  //! The hosts to ask, all founding members but this one.
  [[nodiscard]] std::vector<std::string> others() const;

  void answered(const wire::raft_message &Answer);

  //! The first configuration once every member's last answer was blank.
  [[nodiscard]] std::optional<wire::raft_config>
  config(const std::string &OwnReplica) const;

private:
  std::string HostId;
  std::vector<host_address> Members;
  std::map<std::string, std::string> BlankReplicas; //!< By host id.
};

} // namespace pomelo

#endif
