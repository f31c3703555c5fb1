//! HTTP server for small messages: administration, announcements, health
//! checks.
#ifndef POMELOSWITCH_HTTP_SIMPLE_SERVER_HPP
#define POMELOSWITCH_HTTP_SIMPLE_SERVER_HPP

#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/http/kept_connections.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace pomelo {

using text_request =
    boost::beast::http::request<boost::beast::http::string_body>;

//! Handles one request. A pomelo_error that it throws is converted to its error
//! response, any other exception to an internal error.
using text_handler =
    std::function<boost::asio::awaitable<text_response>(const text_request &)>;

//! Serves every request with one handler. Bodies are limited to 16 MiB.
class simple_server {
public:
  //! \throws boost::system::system_error if the address cannot be bound.
  simple_server(boost::asio::io_context &Io,
                const boost::asio::ip::tcp::endpoint &Address,
                text_handler Handler);

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

  //! Stops accepting and closes idle connections; the others are closed once
  //! their requests are answered.
  void beginStop();
  //! Whether no connection is open.
  [[nodiscard]] bool idle() const { return Shared->Connections.empty(); }
  //! Number of whole requests that are not answered yet.
  [[nodiscard]] std::size_t openCalls() const { return Shared->OpenCalls; }

private:
  //! What the connections use, which may outlive the server.
  struct shared_state {
    text_handler Handler;
    kept_connections Connections;
    std::size_t OpenCalls = 0;
    bool Stopping = false;
  };

  static boost::asio::awaitable<void>
  acceptLoop(boost::asio::ip::tcp::acceptor &Acceptor,
             std::shared_ptr<shared_state> Shared);
  static void admit(boost::asio::ip::tcp::socket Socket,
                    const std::shared_ptr<shared_state> &Shared);
  static boost::asio::awaitable<void>
  serve(std::unique_ptr<kept_connections::registration> Registered,
        std::shared_ptr<shared_state> Shared);
  static boost::asio::awaitable<bool> serveRequest(kept_connection &Connection,
                                                   shared_state &Shared);

  boost::asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<shared_state> Shared;
};

} // namespace pomelo

#endif
