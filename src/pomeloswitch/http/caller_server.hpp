//! HTTP server for callers' connections on one traffic thread.
#ifndef POMELOSWITCH_HTTP_CALLER_SERVER_HPP
#define POMELOSWITCH_HTTP_CALLER_SERVER_HPP

#include "pomeloswitch/http/exchange.hpp"
#include "pomeloswitch/http/kept_connections.hpp"
#include "pomeloswitch/http/traffic_context.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <memory>

namespace pomelo {

//! Limits of one caller_server.
struct caller_limits {
  std::size_t Connections = 10000;
  std::chrono::milliseconds HeaderTimeout{10000}; //!< For a complete header.
};

//! Accepts connections and serves the requests on each of them in sequence.
class caller_server {
public:
  //! Listens with SO_REUSEPORT, so that each traffic thread has its own
  //! listening socket. \throws boost::system::system_error.
  caller_server(traffic_context &Context,
                const boost::asio::ip::tcp::endpoint &Address,
                caller_limits Limits);

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

  //! Stops accepting and closes idle connections; requests in progress are
  //! completed.
  void beginStop();

  [[nodiscard]] std::size_t connectionCount() const {
    return Connections.size();
  }
  //! Whether no connection is open.
  [[nodiscard]] bool idle() const { return Connections.empty(); }

private:
  boost::asio::awaitable<void> acceptLoop();
  void admit(boost::asio::ip::tcp::socket Socket);
  boost::asio::awaitable<void>
  serve(std::unique_ptr<kept_connections::registration> Registered);
  boost::asio::awaitable<void> serveRequests(kept_connection &Connection);
  [[nodiscard]] const caller_bounds &callerBounds() const;
  //! Reads a request header. Returns false if the connection must be closed.
  boost::asio::awaitable<bool> readHeader(kept_connection &Connection,
                                          request_stream_parser &Parser);

  traffic_context &Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  caller_limits Limits;
  kept_connections Connections;
};

} // namespace pomelo

#endif
