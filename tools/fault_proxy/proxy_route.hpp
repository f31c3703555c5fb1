//! One listening address of the fault proxy and its upstream address.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_PROXY_ROUTE_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_PROXY_ROUTE_HPP

#include "fault_proxy/connection_source.hpp"
#include "fault_proxy/route_faults.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pomelo::fault_proxy {

class proxied_connection;

//! Accepts connections on one address and forwards them to the upstream.
class proxy_route {
public:
  //! Starts listening on \p Listen. If \p Sources is not null, faults can be
  //! limited to the connections of one source.
  proxy_route(boost::asio::io_context &Io,
              const boost::asio::ip::tcp::endpoint &Listen,
              const boost::asio::ip::tcp::endpoint &Upstream,
              const source_table *Sources);
  ~proxy_route();
  proxy_route(const proxy_route &) = delete;
  proxy_route &operator=(const proxy_route &) = delete;

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const {
    return Address;
  }
  [[nodiscard]] boost::asio::ip::tcp::endpoint upstream() const {
    return Upstream;
  }
  [[nodiscard]] const route_faults &faults() const { return DefaultFaults; }
  [[nodiscard]] std::size_t connections() const { return Connections.size(); }

  //! Sets the faults of connections whose source has no faults of its own.
  void setFaults(const route_faults &Faults);
  //! Sets the faults of connections from \p Source only.
  void setFaultsFrom(const std::string &Source, const route_faults &Faults);
  void clearFaults();

  //! Resets all open connections.
  void resetOpen();
  //! Permanently stops forwarding on all open connections without closing
  //! them; new connections are not affected.
  void silenceOpen();

private:
  friend class proxied_connection;

  static boost::asio::awaitable<void> acceptLoop(proxy_route &Route,
                                                 std::shared_ptr<bool> Open);
  void applyFaults();
  route_faults faultsOf(proxied_connection &Connection);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::ip::tcp::endpoint Address;
  boost::asio::ip::tcp::endpoint Upstream;
  const source_table *Sources;
  route_faults DefaultFaults;
  std::map<std::string, route_faults> BySource;
  std::set<std::shared_ptr<proxied_connection>> Connections;
  std::shared_ptr<bool> Open = std::make_shared<bool>(true);
};

} // namespace pomelo::fault_proxy

#endif
