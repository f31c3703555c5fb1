//! The clock by which leases are counted.
#ifndef POMELOSWITCH_CLOCK_LEASE_CLOCK_HPP
#define POMELOSWITCH_CLOCK_LEASE_CLOCK_HPP

#include <chrono>

namespace pomelo {

//! Steady, and goes on while the machine is suspended, unlike steady_clock: a
//! lease runs out at its granter meanwhile.
struct lease_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<lease_clock>;
  // The library's clocks are asked by this name.
  static constexpr bool is_steady = true; // NOLINT(*-identifier-naming)

  static time_point now() noexcept;
};

using lease_time = lease_clock::time_point;

//! The same moment by steady_clock, if the machine is not suspended until then.
std::chrono::steady_clock::time_point toSteady(lease_time Time) noexcept;

} // namespace pomelo

#endif
