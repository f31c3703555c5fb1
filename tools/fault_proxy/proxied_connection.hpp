//! One connection through the fault proxy.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_PROXIED_CONNECTION_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_PROXIED_CONNECTION_HPP

#include "fault_proxy/direction.hpp"
#include "fault_proxy/route_faults.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pomelo::fault_proxy {

class proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
public:
  proxied_connection(boost::asio::ip::tcp::socket Client, std::string Source,
                     const route_faults &Faults);

  //! Connects to \p Upstream and passes bytes until both ends have ended;
  //! calls \p OnEnd then.
  void start(const boost::asio::ip::tcp::endpoint &Upstream,
             std::function<void()> OnEnd);

  //! Replaces the faults; a cut resets both ends.
  void setFaults(const route_faults &Value);
  void silence();
  //! Resets both ends.
  void reset();

  [[nodiscard]] const std::string &source() const { return Source; }

private:
  boost::asio::awaitable<void> connect(boost::asio::ip::tcp::endpoint Address);
  void startDirection(direction &Direction);
  void finish(limit_outcome Outcome);
  void close();

  boost::asio::ip::tcp::socket Client;
  boost::asio::ip::tcp::socket Server;
  boost::asio::steady_timer Changed;
  std::string Source;
  route_faults Faults;
  direction ToUpstream;
  direction ToClient;
  std::function<void()> OnEnd;
  int OpenDirections = 0;
  bool Silenced = false;
  bool Closed = false;
};

} // namespace pomelo::fault_proxy

#endif
