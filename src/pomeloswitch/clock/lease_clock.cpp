#include "pomeloswitch/clock/lease_clock.hpp"

#include <ctime>

namespace pomelo {

lease_clock::time_point lease_clock::now() noexcept {
  std::timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
}

std::chrono::steady_clock::time_point toSteady(lease_time Time) noexcept {
  return std::chrono::steady_clock::now() + (Time - lease_clock::now());
}

} // namespace pomelo
