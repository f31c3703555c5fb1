//! HTTP server for small messages: administration, announcements, health
//! checks.
#ifndef POMELOSWITCH_HTTP_SIMPLE_SERVER_HPP
#define POMELOSWITCH_HTTP_SIMPLE_SERVER_HPP

#include "pomeloswitch/http/error_response.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

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
  void stop();

private:
  static boost::asio::awaitable<void>
  acceptLoop(boost::asio::ip::tcp::acceptor &Acceptor,
             std::shared_ptr<const text_handler> Handler);

  boost::asio::ip::tcp::acceptor Acceptor;
};

} // namespace pomelo

#endif
