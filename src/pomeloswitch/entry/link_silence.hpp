//! Detects a connection that looks open but on which nothing arrives any more.
#ifndef POMELOSWITCH_ENTRY_LINK_SILENCE_HPP
#define POMELOSWITCH_ENTRY_LINK_SILENCE_HPP

#include <chrono>
#include <cstdint>
#include <optional>

namespace pomelo {

//! Something must arrive after each heartbeat. Part of a message is enough: on
//! a slow link a large one takes longer than the timeout.
class link_silence {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit link_silence(std::chrono::milliseconds Timeout) : Timeout(Timeout) {}

  void heartbeatSent(time_point Now) {
    if (!UnansweredSince)
      UnansweredSince = Now;
  }
  //! \p Bytes is the total that has arrived on the connection.
  void received(std::uint64_t Bytes) {
    if (Bytes == ReceivedBytes)
      return;
    ReceivedBytes = Bytes;
    UnansweredSince.reset();
  }
  //! Starts over for a new connection.
  void reset() { *this = link_silence(Timeout); }
  [[nodiscard]] bool timedOut(time_point Now) const {
    return UnansweredSince && Now - *UnansweredSince > Timeout;
  }

private:
  std::chrono::milliseconds Timeout;
  std::uint64_t ReceivedBytes = 0;
  std::optional<time_point> UnansweredSince;
};

} // namespace pomelo

#endif
