//! Settings of the entry process.
#ifndef POMELOSWITCH_SETTINGS_ENTRY_SETTINGS_HPP
#define POMELOSWITCH_SETTINGS_ENTRY_SETTINGS_HPP

#include "pomeloswitch/settings/common_settings.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! Retry budget for all entry hosts together.
struct retry_limits {
  double Ratio = 0.2; //!< Retries per request.
  double Burst = 40;  //!< Retries beyond the ratio in a short time.
};

struct entry_settings {
  std::string HostId;
  std::string FailureDomain;
  std::string CallerAddress; //!< IP:port for callers' HTTP.
  //! IP:port for targets' announcements; empty if this host accepts none.
  std::string AnnounceAddress;
  std::string OpsAddress; //!< IP:port for health and metrics.
  std::vector<host_address> ControlHosts;
  std::string ClusterSecret;
  unsigned TrafficThreads = 1;
  unsigned MaxCallerConnections = 10000;
  std::uint32_t HeaderTimeoutMs = 10000; //!< To receive a whole request header.
  std::uint32_t StopGraceMs = 30000;     //!< Longest wait for pending requests.
  //! How long a stopping host still serves new callers after it has reported
  //! itself as not ready, so that the load balancer can take it out.
  std::uint32_t StopNoticeMs = 500;
  //! Time from the stop signal until what supervises the process kills it. If
  //! set, the stop lasts nearly as long, and StopGraceMs is not used.
  std::optional<double> StopLimitSeconds;
  //! What the host's link carries in one direction, 10^6 bit/s; 0: unknown.
  double LinkMegabitsPerSecond = 0;
  retry_limits Retries;
  log_settings Log;
  std::string Adapter;   //!< The field "adapter" as JSON, or empty.
  std::string TraceFile; //!< Trace spans are appended; empty for none.
};

//! \throws pomelo_error BadSettings if a field is missing or invalid; the
//!         message names the field.
entry_settings parseEntrySettings(std::string_view Text);

} // namespace pomelo

#endif
