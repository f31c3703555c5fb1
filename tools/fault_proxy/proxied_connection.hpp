//! One connection through the fault proxy.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_PROXIED_CONNECTION_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_PROXIED_CONNECTION_HPP

#include "fault_proxy/connection_source.hpp"
#include "fault_proxy/direction.hpp"
#include "fault_proxy/route_faults.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pomelo::fault_proxy {

class proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
public:
  explicit proxied_connection(boost::asio::ip::tcp::socket Client);

  //! Connects to \p Upstream under the faults set before, and passes bytes
  //! until both ends have ended; calls \p OnEnd then.
  void start(const boost::asio::ip::tcp::endpoint &Upstream,
             std::function<void()> OnEnd);

  //! Replaces the faults; a cut resets both ends.
  void setFaults(const route_faults &Value);
  void silence();
  //! Resets both ends.
  void reset();

  //! The name that \p Sources has for the process at the other end; nothing
  //! if it is not known yet.
  const std::optional<std::string> &source(source_table &Sources);

private:
  boost::asio::awaitable<void> connect(boost::asio::ip::tcp::endpoint Address);
  void startDirection(direction &Direction);
  void finish(limit_outcome Outcome);
  void close();

  boost::asio::ip::tcp::socket Client;
  boost::asio::ip::tcp::socket Server;
  boost::asio::steady_timer Changed;
  std::optional<std::string> Source; //!< Looked up when it is needed.
  route_faults Faults;
  direction ToUpstream;
  direction ToClient;
  std::function<void()> OnEnd;
  int OpenDirections = 0;
  bool Silenced = false;
  bool Started = false;
  bool Closed = false;
};

} // namespace pomelo::fault_proxy

#endif
