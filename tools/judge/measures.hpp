//! Measures of a replay: unavailable time, wrongful refusals, balance, churn.
#ifndef POMELOSWITCH_TOOLS_JUDGE_MEASURES_HPP
#define POMELOSWITCH_TOOLS_JUDGE_MEASURES_HPP

#include "judge/violations.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelo::judge {

//! Requests whose path starts with Prefix carry their key right after it.
struct keyed_paths {
  std::string Prefix;
  std::uint32_t Slots = 1;
};

struct unavailable_time {
  double LongestSeconds = 0; //!< Of one key slot, or of all unkeyed requests.
  double SumSeconds = 0;     //!< Of all key slots.
  std::uint64_t Spans = 0;
};

//! For each key slot, the spans from a failed request to the next answered
//! one. Refusals for the caller's own fault or rate do not count as failed. A
//! span without a later answer ends with the last failed request.
unavailable_time
measureUnavailable(const std::vector<caller::outcome> &Outcomes,
                   const std::vector<keyed_paths> &Keyed);

//! Requests refused as over the rate although one token bucket for the whole
//! fleet, run over the times of sending, had room for them.
std::uint64_t
countWrongfulRefusals(const std::vector<caller::outcome> &Outcomes,
                      const std::map<std::string, account_rate> &Rates);

//! Executions at the busiest target over the mean, by service.
std::map<std::string, double> measureImbalance(const journal &Journal);

//! How often a slot's executions went on at another target.
std::uint64_t countMoves(const journal &Journal);

} // namespace pomelo::judge

#endif
