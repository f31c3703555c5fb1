//! One direction of a host's network link.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_SHARED_LINK_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_SHARED_LINK_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace pomelo::fault_proxy {

//! Carries the bytes of all connections that share it one after the other, in
//! the order of their arrival, at a fixed rate. The queue drops nothing; the
//! windows of the connections bound it. Thread-safe; reads no clock.
class shared_link {
public:
  using time_point = std::chrono::steady_clock::time_point;
  using duration = std::chrono::steady_clock::duration;

  explicit shared_link(std::uint64_t BytesPerSecond)
      : BytesPerSecond(BytesPerSecond) {}

  //! Queues \p Bytes at \p Now and returns when the last of them has arrived.
  time_point carry(std::size_t Bytes, time_point Now);

  //! Returns how long a byte that is queued at \p Now waits for those before.
  [[nodiscard]] duration backlog(time_point Now) const;

private:
  const std::uint64_t BytesPerSecond;
  mutable std::mutex Mutex;
  time_point FreeAt{};
};

} // namespace pomelo::fault_proxy

#endif
