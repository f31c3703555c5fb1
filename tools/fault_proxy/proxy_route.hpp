//! One listening address of the fault proxy and what it forwards to.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_PROXY_ROUTE_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_PROXY_ROUTE_HPP

#include "fault_proxy/connection_source.hpp"
#include "fault_proxy/route_faults.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pomelo::fault_proxy {

class proxied_connection;

class proxy_route {
public:
  //! Listens on \p Listen at once. \p Sources may be null; otherwise faults
  //! can be limited to the connections of one source.
  proxy_route(boost::asio::io_context &Io,
              const boost::asio::ip::tcp::endpoint &Listen,
              const boost::asio::ip::tcp::endpoint &Upstream,
              source_table *Sources);
  ~proxy_route();
  proxy_route(const proxy_route &) = delete;
  proxy_route &operator=(const proxy_route &) = delete;

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const {
    return Address;
  }
  [[nodiscard]] boost::asio::ip::tcp::endpoint upstream() const {
    return Upstream;
  }
  [[nodiscard]] const route_faults &faults() const { return Everybody; }
  [[nodiscard]] std::size_t connections() const { return Connections.size(); }

  //! Faults for every connection that has none of its own source.
  void setFaults(const route_faults &Faults);
  //! Faults for the connections from \p Source only.
  void setFaultsFrom(const std::string &Source, const route_faults &Faults);
  void clearFaults();

  //! Resets the connections that are open now.
  void resetOpen();
  //! The connections that are open now stay open and pass nothing for good;
  //! new ones are not concerned.
  void silenceOpen();

private:
  friend class proxied_connection;

  static boost::asio::awaitable<void> acceptLoop(proxy_route &Route,
                                                 std::shared_ptr<bool> Open);
  void applyFaults();
  route_faults faultsOf(proxied_connection &Connection);
  //! Applies the faults again once new connections' sources are known.
  void scheduleRecheck();

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::ip::tcp::endpoint Address;
  boost::asio::ip::tcp::endpoint Upstream;
  source_table *Sources;
  boost::asio::steady_timer Recheck;
  bool RecheckDue = false;
  route_faults Everybody;
  std::map<std::string, route_faults> BySource;
  std::set<std::shared_ptr<proxied_connection>> Connections;
  std::shared_ptr<bool> Open = std::make_shared<bool>(true);
};

} // namespace pomelo::fault_proxy

#endif
