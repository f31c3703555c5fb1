//! One direction of a proxied connection.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_DIRECTION_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_DIRECTION_HPP

#include "fault_proxy/route_faults.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <span>
#include <vector>

namespace pomelo::fault_proxy {

//! What happens to the connection when a byte limit is reached.
enum class limit_outcome { None, Close, Reset };

//! Forwards bytes from one socket to another under a set of faults.
class direction {
public:
  //! \p Faults is read again for each chunk and must outlive the direction.
  direction(boost::asio::ip::tcp::socket &From,
            boost::asio::ip::tcp::socket &To, const direction_faults &Faults);

  //! Reads and queues chunks until the sender closes; returns after the end of
  //! the stream is queued.
  boost::asio::awaitable<void> read();

  //! Writes queued chunks when they are due; returns after the end of the
  //! stream was forwarded or a byte limit was reached.
  boost::asio::awaitable<limit_outcome> write();

  //! Stops forwarding permanently, regardless of the faults.
  void silence();

  //! Ends the coroutines; call it after closing the sockets.
  void stop();

  //! Makes waiting coroutines check the faults again.
  void wake() { FaultsChanged.cancel(); }

private:
  struct chunk {
    std::vector<char> Bytes; //!< Empty at the end of the stream.
    //! When it was read, or when it has crossed the shared link.
    std::chrono::steady_clock::time_point ArrivesAt;
  };

  [[nodiscard]] bool blocked() const { return Silenced || Faults.Blocked; }
  boost::asio::awaitable<void> waitForChange();
  boost::asio::awaitable<void> waitUntilDue(const chunk &Chunk);
  boost::asio::awaitable<void> pace(std::size_t Bytes);
  boost::asio::awaitable<limit_outcome> forward(std::span<const char> Bytes);
  [[nodiscard]] std::size_t pieceBytes(std::size_t Wanted) const;
  [[nodiscard]] std::size_t readBytes() const;
  [[nodiscard]] std::size_t maxQueuedBytes() const;
  [[nodiscard]] limit_outcome reachedLimit() const;

  boost::asio::ip::tcp::socket &From;
  boost::asio::ip::tcp::socket &To;
  const direction_faults &Faults;
  boost::asio::steady_timer FaultsChanged;
  boost::asio::steady_timer BackpressureTimer;
  std::deque<chunk> Queue;
  std::size_t QueuedBytes = 0;
  std::uint64_t ForwardedBytes = 0;
  bool Silenced = false;
  bool Stopped = false;
};

} // namespace pomelo::fault_proxy

#endif
