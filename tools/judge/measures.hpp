//! Measures of a replay: unavailable time, refusals of requests within the
//! rate, load imbalance and ownership moves.
#ifndef POMELOSWITCH_TOOLS_JUDGE_MEASURES_HPP
#define POMELOSWITCH_TOOLS_JUDGE_MEASURES_HPP

#include "judge/violations.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelo::judge {

//! Requests whose path starts with Prefix have their key directly after it.
struct keyed_paths {
  std::string Prefix;
  std::uint32_t Slots = 1;
};

struct unavailable_time {
  double LongestSeconds = 0; //!< Of one key slot or unkeyed path.
  double SumSeconds = 0;     //!< Of all key slots and unkeyed paths.
  std::uint64_t Spans = 0;
};

//! Measures, for each key slot, the spans from a failed request to the next
//! answered one. Requests refused because of a caller error or the rate limit
//! (status 4xx) do not count as failed. A span without a later answer ends with
//! the last failed request.
unavailable_time
measureUnavailableTime(const std::vector<caller::outcome> &Outcomes,
                       const std::vector<keyed_paths> &Keyed);

//! Counts requests refused with rate_exceeded although a single token bucket
//! for all entry hosts, replayed over DueUs, had a token for them.
std::uint64_t
countRefusalsWithinRate(const std::vector<caller::outcome> &Outcomes,
                        const std::map<std::string, account_rate> &Rates);

//! Returns, by service, the executions at the busiest target divided by the
//! mean of all targets that executed a request.
std::map<std::string, double> measureImbalance(const journal &Journal);

//! Counts how often consecutive executions on a slot ran at different targets.
std::uint64_t countMoves(const journal &Journal);

} // namespace pomelo::judge

#endif
