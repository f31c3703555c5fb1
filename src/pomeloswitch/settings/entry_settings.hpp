//! Settings of one entry process.
#ifndef POMELOSWITCH_SETTINGS_ENTRY_SETTINGS_HPP
#define POMELOSWITCH_SETTINGS_ENTRY_SETTINGS_HPP

#include "pomeloswitch/settings/common_settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

struct entry_settings {
  std::string HostId;
  std::string FailureDomain;
  std::string CallerAddress;   //!< IP:port for callers' HTTP.
  std::string AnnounceAddress; //!< IP:port for targets' announcements.
  std::string OpsAddress;      //!< IP:port for health and metrics.
  std::vector<host_address> ControlHosts;
  std::string ClusterSecret;
  unsigned TrafficThreads = 1;
  unsigned MaxCallerConnections = 10000;
  std::uint32_t HeaderTimeoutMs = 10000; //!< For a whole request header.
  std::uint32_t StopGraceMs = 30000;     //!< Longest wait for open requests.
  log_settings Log;
  std::string TraceFile; //!< Spans are appended here; empty for none.
};

//! \throws pomelo_error BadSettings naming the field.
entry_settings parseEntrySettings(std::string_view Text);

} // namespace pomelo

#endif
