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
  log_settings Log;
};

//! \throws pomelo_error BadSettings naming the field.
control_settings parseControlSettings(std::string_view Text);

} // namespace pomelo

#endif
