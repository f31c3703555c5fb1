//! A TCP proxy with several routes and fault injection at run time.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_FAULT_PROXY_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_FAULT_PROXY_HPP

#include "fault_proxy/proxy_route.hpp"
#include "pomeloswitch/http/simple_server.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace pomelo::fault_proxy {

//! All routes and the control endpoint. Not thread-safe: call it only on
//! the thread that runs the io_context, as fault_proxy_thread does.
//!
//! Control, HTTP with JSON bodies:
//! - GET  /v1/routes  lists routes, addresses, faults and open connections
//! - POST /v1/routes  {"name", "upstream", "listen"?} adds one
//! - POST /v1/faults  {"route", "source"?, "faults"} sets the faults
//! - POST /v1/actions {"route", "action"}: "reset" or "silence" the open
//!   connections, or "clear" the faults
//! A route "*" means all routes.
class proxy {
public:
  proxy(boost::asio::io_context &Io,
        const boost::asio::ip::tcp::endpoint &Control);

  //! Adds a route and returns the address that it listens on.
  //! \throws pomelo_error BadRequest if the name is taken.
  boost::asio::ip::tcp::endpoint
  addRoute(const std::string &Name,
           const boost::asio::ip::tcp::endpoint &Upstream,
           const boost::asio::ip::tcp::endpoint &Listen);

  //! \throws pomelo_error NotFound.
  proxy_route &route(std::string_view Name);
  [[nodiscard]] source_table &sources() { return Sources; }
  [[nodiscard]] boost::asio::ip::tcp::endpoint controlAddress() const {
    return Server.address();
  }

private:
  boost::asio::awaitable<text_response> handle(const text_request &Request);
  void postRoute(const boost::json::object &Body);
  void postFaults(const boost::json::object &Body);
  void postAction(const boost::json::object &Body);
  void forEachNamed(std::string_view Name,
                    const std::function<void(proxy_route &)> &Do);
  [[nodiscard]] std::string describe() const;

  boost::asio::io_context &Io;
  source_table Sources;
  std::map<std::string, std::unique_ptr<proxy_route>, std::less<>> Routes;
  simple_server Server;
};

} // namespace pomelo::fault_proxy

#endif
