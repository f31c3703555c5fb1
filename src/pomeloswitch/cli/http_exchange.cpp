#include "pomeloswitch/cli/http_exchange.hpp"

#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>

namespace pomelo {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::milliseconds CallTimeout{6000};

} // namespace

// tcp_stream applies its timeout to asynchronous operations only, so a local
// io_context runs them for this request.
client_response exchangeWith(const std::string &Address,
                             const client_request &Request) {
  boost::asio::io_context Io;
  beast::tcp_stream Stream(Io);
  beast::flat_buffer Buffer;
  client_response Response;
  boost::system::error_code Failure;
  Stream.expires_after(CallTimeout);
  Stream.async_connect(parseEndpoint(Address), [&](beast::error_code Error) {
    Failure = Error;
    if (Error)
      return;
    http::async_write(Stream, Request,
                      [&](beast::error_code Sent, std::size_t) {
                        Failure = Sent;
                        if (Sent)
                          return;
                        http::async_read(Stream, Buffer, Response,
                                         [&](beast::error_code Read,
                                             std::size_t) { Failure = Read; });
                      });
  });
  Io.run();
  if (Failure)
    throw boost::system::system_error(Failure);
  return Response;
}

} // namespace pomelo
