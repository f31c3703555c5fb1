//! What became of one request of a replay.
#ifndef POMELOSWITCH_TOOLS_CALLER_OUTCOME_HPP
#define POMELOSWITCH_TOOLS_CALLER_OUTCOME_HPP

#include "caller/trace.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pomelo::caller {

struct outcome {
  trace_request Request;
  std::string Entry;                   //!< Address it was last sent to.
  std::int64_t DueUs = 0;              //!< Unix time it was due at.
  std::int64_t SentUs = 0;             //!< Unix time it was sent at.
  std::int64_t DoneUs = 0;             //!< Unix time of the answer or failure.
  std::chrono::nanoseconds Latency{0}; //!< From when it was due.
  int Status = 0;                      //!< 0 if there was no whole answer.
  std::string Error;       //!< Error kind, or what broke the exchange.
  std::string RunState;    //!< "ran", "not_run" or "unknown".
  std::string Target;      //!< The target that answered.
  bool Mismatched = false; //!< The answer belongs to another request.

  [[nodiscard]] bool answered() const { return Status >= 200 && Status < 300; }
};

//! One line of the caller's log.
boost::json::object describeOutcome(const outcome &Outcome);

//! Counts by error and run state, latencies, and the same per account.
boost::json::object summarize(const std::vector<outcome> &Outcomes);

} // namespace pomelo::caller

#endif
