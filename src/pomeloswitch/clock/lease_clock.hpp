//! The clock that measures leases.
#ifndef POMELOSWITCH_CLOCK_LEASE_CLOCK_HPP
#define POMELOSWITCH_CLOCK_LEASE_CLOCK_HPP

#include <chrono>

namespace pomelo {

//! A monotonic clock (CLOCK_BOOTTIME) that, unlike steady_clock, also advances
//! while the machine is suspended, because leases expire at the granter during
//! that time.
struct lease_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<lease_clock>;
  // The name is required by the standard Clock requirements.
  static constexpr bool is_steady = true; // NOLINT(*-identifier-naming)

  static time_point now() noexcept;
};

using lease_time = lease_clock::time_point;

//! Converts \p Time to the same instant of steady_clock. The result is too
//! late if the machine is suspended before that instant.
std::chrono::steady_clock::time_point toSteady(lease_time Time) noexcept;

} // namespace pomelo

#endif
