//! The outcome of one request of a replay.
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
  std::string Entry;       //!< Address of the entry host used.
  std::int64_t DueUs = 0;  //!< Unix time at which sending began.
  std::int64_t SentUs = 0; //!< Unix time after connecting, or 0.
  std::int64_t DoneUs = 0; //!< Unix time of the response or failure.
  std::chrono::nanoseconds Latency{0}; //!< Measured from the scheduled time.
  int Status = 0;                      //!< 0 without a complete response.
  std::string Error;    //!< Error kind, or the reason for the failed exchange.
  std::string RunState; //!< "ran", "not_run" or "unknown".
  std::string Target;   //!< The target that sent the response.
  bool Mismatched = false; //!< The response does not match the request.

  [[nodiscard]] bool answered() const { return Status >= 200 && Status < 300; }
};

//! Returns the JSON object of one line of the caller's log.
boost::json::object describeOutcome(const outcome &Outcome);

//! Returns counts by error and run state and latency quantiles, in total and
//! per account.
boost::json::object summarize(const std::vector<outcome> &Outcomes);

} // namespace pomelo::caller

#endif
