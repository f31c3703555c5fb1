#include "fault_proxy/shared_link.hpp"

#include <algorithm>

namespace pomelo::fault_proxy {
namespace {

constexpr std::uint64_t NanosecondsPerSecond = 1'000'000'000;

} // namespace

shared_link::time_point shared_link::carry(std::size_t Bytes, time_point Now) {
  const std::scoped_lock Lock(Mutex);
  const std::chrono::nanoseconds Duration(Bytes * NanosecondsPerSecond /
                                          BytesPerSecond);
  FreeAt = std::max(FreeAt, Now) + Duration;
  return FreeAt;
}

shared_link::duration shared_link::backlog(time_point Now) const {
  const std::scoped_lock Lock(Mutex);
  return std::max(FreeAt - Now, duration::zero());
}

} // namespace pomelo::fault_proxy
