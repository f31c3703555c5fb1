//! The deployment that the demo starts and the trace that it replays.
#ifndef POMELOSWITCH_TOOLS_DEMO_DEMO_PLAN_HPP
#define POMELOSWITCH_TOOLS_DEMO_DEMO_PLAN_HPP

#include "caller/trace.hpp"
#include "emulator/deployment.hpp"
#include "judge/violations.hpp"

#include <chrono>
#include <map>
#include <string>

namespace pomelo::demo {

struct demo_plan {
  unsigned ControlHosts = 3; //!< The leader is killed only with 3 or more.
  unsigned EntryHostsPerDomain = 2;
  unsigned ArchiveTargetsPerDomain = 2;
  unsigned TraceRepeats = 4;
  std::string SourceFolder; //!< Contains examples/.
};

//! Prefix of the ids of requests that measure unavailable time.
inline constexpr std::string_view ProbePrefix = "probe-";
//! Interval between the requests of one probed key.
inline constexpr std::chrono::milliseconds ProbeInterval{300};

//! Returns a deployment with the inventory and rules of Statika Jadran, few
//! targets and a fault proxy.
emulator::deployment_plan makeDeploymentPlan(const demo_plan &Plan);

//! Returns the recorded trace, repeated and merged with probes of many keys.
caller::trace makeTrace(const demo_plan &Plan);

//! Returns the rates of the inventory's accounts, by name.
std::map<std::string, judge::account_rate> readRates(const demo_plan &Plan);

} // namespace pomelo::demo

#endif
