//! Settings of one control process.
#ifndef POMELOSWITCH_SETTINGS_CONTROL_SETTINGS_HPP
#define POMELOSWITCH_SETTINGS_CONTROL_SETTINGS_HPP

#include "pomeloswitch/settings/common_settings.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! One operator who may use the administration API.
struct operator_settings {
  std::string Name;
  std::string KeySha256; //!< Lower-case hexadecimal hash of the credential.
};

struct control_settings {
  std::string HostId;
  std::string FailureDomain;
  std::string PeerAddress;  //!< IP:port of the inner protocol.
  std::string AdminAddress; //!< IP:port of the administration API.
  std::string DataFolder;
  std::vector<host_address> Members; //!< First members of the group.
  std::string ClusterSecret;
  std::vector<operator_settings> Operators;
  //! How long an entry host may route after the leader last heard it.
  std::uint32_t HostLeaseMs = 1200;
  //! How long a target that is ordered by calls holds its slots after each.
  std::uint32_t TargetHoldMs = 2000;
  log_settings Log;
  std::string Adapter; //!< The member "adapter" as JSON, or empty.
};

//! \throws pomelo_error BadSettings naming the field.
control_settings parseControlSettings(std::string_view Text);

} // namespace pomelo

#endif
