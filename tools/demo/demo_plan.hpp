//! What the demo starts and replays.
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
  unsigned ControlHosts = 3; //!< A leader is lost only with three or more.
  unsigned EntryHostsPerDomain = 2;
  unsigned ArchiveTargetsPerDomain = 2;
  unsigned TraceRepeats = 4;
  std::string SourceFolder; //!< Holds examples/.
};

//! Prefix of the ids of requests that measure unavailable time.
inline constexpr std::string_view ProbePrefix = "probe-";
//! One in so many requests of a probed key is due each such time.
inline constexpr std::chrono::milliseconds ProbeInterval{300};

//! Statika Jadran's inventory and rules with few targets, behind the fault
//! proxy.
emulator::deployment_plan makeDeploymentPlan(const demo_plan &Plan);

//! The recorded trace, repeated, with probes of many keys between.
caller::trace makeTrace(const demo_plan &Plan);

//! The accounts of the inventory.
std::map<std::string, judge::account_rate> readRates(const demo_plan &Plan);

} // namespace pomelo::demo

#endif
