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

//! Forwards bytes between a client and the upstream in both directions.
class proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
public:
  explicit proxied_connection(boost::asio::ip::tcp::socket Client);

  //! Connects to \p Upstream with the current faults and forwards bytes until
  //! the connection is closed or reset; then calls \p OnEnd.
  void start(const boost::asio::ip::tcp::endpoint &Upstream,
             std::function<void()> OnEnd);

  //! Replaces the faults; a cut resets both ends.
  void setFaults(const route_faults &Value);
  //! Permanently stops forwarding without closing the connection.
  void silence();
  //! Resets both ends.
  void reset();

  //! Returns the name of the client process in \p Sources; empty if it has
  //! none.
  const std::string &source(const source_table &Sources);

private:
  boost::asio::awaitable<void> connect(boost::asio::ip::tcp::endpoint Address);
  void startDirection(direction &Direction);
  void finish(limit_outcome Outcome);
  void close();

  boost::asio::ip::tcp::socket Client;
  boost::asio::ip::tcp::socket Server;
  boost::asio::steady_timer FaultsChanged;
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
