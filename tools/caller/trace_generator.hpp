//! Generates the traces under examples/traces.
#ifndef POMELOSWITCH_TOOLS_CALLER_TRACE_GENERATOR_HPP
#define POMELOSWITCH_TOOLS_CALLER_TRACE_GENERATOR_HPP

#include "caller/trace.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo::caller {

//! A kind of request and its share of the traffic.
struct request_kind {
  std::string Method;
  std::string PathPrefix;
  double Weight = 1;
  bool Keyed = false; //!< A key is appended to the prefix.
  bool Idempotent = false;
  std::uint64_t MaxBodyBytes = 0;
};

struct weighted_account {
  std::string Name;
  double Weight = 1;
};

struct trace_shape {
  std::string Name;
  std::vector<request_kind> Kinds;
  std::vector<weighted_account> Accounts;
  double RequestsPerSecond = 200;
  std::uint32_t Keys = 2000;
  std::uint32_t HotKeys = 8;
  double HotShare = 0.3; //!< Fraction of keyed requests sent to hot keys.
  std::chrono::seconds HotKeyChangeInterval{5};
};

//! The shapes of the example users, named "statika" and "hinokuni".
std::span<const trace_shape> traceShapes();
//! \throws pomelo_error NotFound if no shape has the name.
const trace_shape &findTraceShape(std::string_view Name);

//! Generates requests as a Poisson process for \p Duration. The same seed gives
//! the same trace.
trace generateTrace(const trace_shape &Shape, std::chrono::seconds Duration,
                    std::uint64_t Seed);

} // namespace pomelo::caller

#endif
