//! Recorded traces: the requests that a replay sends, and when.
#ifndef POMELOSWITCH_TOOLS_CALLER_TRACE_HPP
#define POMELOSWITCH_TOOLS_CALLER_TRACE_HPP

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace pomelo::caller {

struct trace_request {
  std::chrono::microseconds At{0}; //!< Since the start of the replay.
  std::string Id;                  //!< Sent as X-Request-Id; unique.
  std::string Account;             //!< Empty on routes open to all.
  std::string Method;
  std::string Path;
  std::uint64_t BodyBytes = 0;
  bool Idempotent = false; //!< Whether it may run more than once.
};

using trace = std::vector<trace_request>;

//! Reads one JSON object a line; see docs/TRACES.md.
//! \throws pomelo_error BadSettings that names the line.
trace readTrace(std::istream &In);
trace readTraceFile(const std::string &Path);

void writeTrace(std::ostream &Out, const trace &Trace);

//! The body that a replay sends with \p Request; the same in every replay.
std::string bodyOf(const trace_request &Request);

} // namespace pomelo::caller

#endif
