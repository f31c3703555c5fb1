//! A closed-loop HTTP load generator for one address, used by proxy_bench.
#ifndef POMELOSWITCH_BENCHMARKS_PROXY_CLOSED_LOOP_HPP
#define POMELOSWITCH_BENCHMARKS_PROXY_CLOSED_LOOP_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pomelo::bench {

struct load_result {
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
  double Seconds = 0;
  std::vector<double> Milliseconds; //!< Latency of each answered request.

  [[nodiscard]] double perSecond() const {
    return static_cast<double>(Requests) / Seconds;
  }
  //! Returns the latency in ms that the given fraction of the requests does not
  //! exceed; 0 without requests.
  [[nodiscard]] double quantile(double Fraction) const;
};

//! Sends GET /public/bench for \p Duration over \p Connections persistent
//! connections to \p Address; each sends its next request as soon as the last
//! is answered.
load_result runClosedLoop(const std::string &Address, unsigned Connections,
                          std::chrono::milliseconds Duration);

} // namespace pomelo::bench

#endif
