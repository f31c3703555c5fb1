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

//! What a limit on the bytes of a direction does to the connection.
enum class limit_outcome { None, Close, Reset };

class direction {
public:
  //! \p Faults is read anew for each chunk and must outlive the direction.
  direction(boost::asio::ip::tcp::socket &From,
            boost::asio::ip::tcp::socket &To, const direction_faults &Faults);

  //! Reads chunks until the sender ends; returns after the end is queued.
  boost::asio::awaitable<void> read();

  //! Writes queued chunks when they are due; returns after the sender's end
  //! was passed on, or when a limit was reached.
  boost::asio::awaitable<limit_outcome> write();

  //! Nothing passes any more, whatever the faults say.
  void silence();

  //! Ends the coroutines after the sockets were closed.
  void stop();

  //! Makes waiting coroutines look at the faults again.
  void wake() { Changed.cancel(); }

private:
  struct chunk {
    std::vector<char> Bytes; //!< Empty for the sender's end.
    std::chrono::steady_clock::time_point ReadAt;
  };

  [[nodiscard]] bool blocked() const { return Silenced || Faults.Blocked; }
  boost::asio::awaitable<void> waitForChange();
  boost::asio::awaitable<void> waitUntilDue(const chunk &Chunk);
  boost::asio::awaitable<void> pace(std::size_t Bytes);
  boost::asio::awaitable<limit_outcome> pass(std::span<const char> Bytes);
  [[nodiscard]] std::size_t pieceBytes(std::size_t Wanted) const;
  [[nodiscard]] limit_outcome reachedLimit() const;

  boost::asio::ip::tcp::socket &From;
  boost::asio::ip::tcp::socket &To;
  const direction_faults &Faults;
  boost::asio::steady_timer Changed;
  boost::asio::steady_timer Pause;
  std::deque<chunk> Queue;
  std::size_t QueuedBytes = 0;
  std::uint64_t PassedBytes = 0;
  bool Silenced = false;
  bool Stopped = false;
};

} // namespace pomelo::fault_proxy

#endif
