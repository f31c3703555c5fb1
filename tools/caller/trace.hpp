//! Recorded traces: the requests that a replay sends and their times.
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
  std::string Id;                  //!< Unique; sent as X-Request-Id.
  std::string Account;             //!< Empty on routes without accounts.
  std::string Method;
  std::string Path;
  std::uint64_t BodyBytes = 0;
  bool Idempotent = false; //!< Whether it may be executed repeatedly.
};

using trace = std::vector<trace_request>;

//! Reads one JSON object per line; see docs/TRACES.md.
//! \throws pomelo_error BadSettings with the line number.
trace readTrace(std::istream &In);
trace readTraceFile(const std::string &Path);

void writeTrace(std::ostream &Out, const trace &Trace);

//! Returns the body sent with \p Request, which is the same in every replay.
std::string makeBody(const trace_request &Request);

} // namespace pomelo::caller

#endif
