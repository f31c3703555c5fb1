//! The planned end of servers for small messages.
#ifndef POMELOSWITCH_HTTP_SERVER_DRAIN_HPP
#define POMELOSWITCH_HTTP_SERVER_DRAIN_HPP

#include "pomeloswitch/http/simple_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <vector>

namespace pomelo {

//! Stops servers and waits until what they have accepted is answered. The
//! servers must outlive it.
class server_drain {
public:
  server_drain(boost::asio::io_context &Io,
               std::vector<simple_server *> GivenServers,
               std::function<void()> GivenOnEnd);

  //! Stops the servers. The callback is called once, when no connection is
  //! open, when no call was open for LastRequestWait, whatever has arrived of
  //! others, or after \p Limit. To be called once.
  void begin(std::chrono::milliseconds Limit);

private:
  void poll();
  [[nodiscard]] bool ended();

  std::vector<simple_server *> Servers;
  std::function<void()> OnEnd;
  boost::asio::steady_timer Timer;
  std::chrono::steady_clock::time_point Deadline{};
  std::chrono::steady_clock::time_point LastOpen{}; //!< When a call was open.
};

} // namespace pomelo

#endif
