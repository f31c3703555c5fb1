//! Settings of one entry process.
#ifndef POMELOSWITCH_SETTINGS_ENTRY_SETTINGS_HPP
#define POMELOSWITCH_SETTINGS_ENTRY_SETTINGS_HPP

#include "pomeloswitch/settings/common_settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! The bounds on second sends that all entry hosts keep together.
struct retry_limits {
  double Ratio = 0.2; //!< Second sends for each request.
  double Spare = 40;  //!< Second sends beyond that, in a short time.
};

struct entry_settings {
  std::string HostId;
  std::string FailureDomain;
  std::string CallerAddress; //!< IP:port for callers' HTTP.
  //! IP:port for targets' announcements; empty if they make none here.
  std::string AnnounceAddress;
  std::string OpsAddress; //!< IP:port for health and metrics.
  std::vector<host_address> ControlHosts;
  std::string ClusterSecret;
  unsigned TrafficThreads = 1;
  unsigned MaxCallerConnections = 10000;
  std::uint32_t HeaderTimeoutMs = 10000; //!< For a whole request header.
  std::uint32_t StopGraceMs = 30000;     //!< Longest wait for open requests.
  //! How long new callers are still served after readiness has ended, so that
  //! the balancer can notice.
  std::uint32_t StopNoticeMs = 500;
  retry_limits Retries;
  log_settings Log;
  std::string Adapter;   //!< The member "adapter" as JSON, or empty.
  std::string TraceFile; //!< Spans are appended here; empty for none.
};

//! \throws pomelo_error BadSettings naming the field.
entry_settings parseEntrySettings(std::string_view Text);

} // namespace pomelo

#endif
