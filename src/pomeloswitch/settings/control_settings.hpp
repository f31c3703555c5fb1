//! Settings of the control process.
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

//! Bounds on what a version that turns out to be bad may get.
struct exposure_bounds {
  double Share = 0.1; //!< Of the requests between the order and its time limit.
  double Slack = 50;  //!< Requests beyond that.
};

struct control_settings {
  std::string HostId;
  std::string FailureDomain;
  std::string PeerAddress;  //!< IP:port of the inner protocol.
  std::string AdminAddress; //!< IP:port of the administration API.
  std::string DataFolder;
  std::vector<host_address> Members; //!< Founding members of the group.
  //! Whether a host with an empty data folder may found the group together with
  //! the members. To be true at the first start of the whole system only.
  bool MayFound = true;
  //! How many control hosts may be lost at once, with their disks. The group is
  //! founded to grow to as many voters as that takes.
  unsigned ToleratedLosses = 0;
  std::string ClusterSecret;
  std::vector<operator_settings> Operators;
  //! How long an entry host may route requests after the last heartbeat that
  //! the leader received from it.
  std::uint32_t HostLeaseMs = 1200;
  //! How long a target that gets its slots by calls of the leader owns them
  //! after each call.
  std::uint32_t TargetSlotLeaseMs = 2000;
  //! Whether services can be moved to other versions. Only then the versions
  //! of the targets are recorded.
  bool RolloutsEnabled = false;
  exposure_bounds Exposure;
  log_settings Log;
  std::string Adapter; //!< The field "adapter" as JSON, or empty.
};

//! \throws pomelo_error BadSettings if a field is missing or invalid; the
//!         message names the field.
control_settings parseControlSettings(std::string_view Text);

} // namespace pomelo

#endif
