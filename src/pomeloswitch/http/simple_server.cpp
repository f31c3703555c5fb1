#include "pomeloswitch/http/simple_server.hpp"

#include "pomeloswitch/http/accept_next.hpp"
#include "pomeloswitch/http/limited_read.hpp"
#include "pomeloswitch/http/spawn.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <exception>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;
constexpr std::size_t MaxBodyBytes = 16 * 1024 * 1024;
constexpr auto IdleTimeout = std::chrono::seconds(60);
constexpr auto WriteTimeout = std::chrono::seconds(10);

asio::awaitable<text_response> answer(const text_handler &Handler,
                                      const text_request &Request) {
  try {
    co_return co_await Handler(Request);
  } catch (const pomelo_error &Failure) {
    co_return makeErrorResponse(Failure.kind(), Failure.what(),
                                Request.version());
  } catch (const std::exception &Failure) {
    co_return makeErrorResponse(error_kind::Internal, Failure.what(),
                                Request.version());
  }
}

//! Reads a whole request. What frames the body counts as part of it.
asio::awaitable<void>
readRequest(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
            http::request_parser<http::string_body> &Parser) {
  std::size_t HeaderAllowance = MaxHeaderBytes;
  error_code Error =
      co_await readLimited(Stream, Buffer, Parser, HeaderAllowance);
  std::size_t BodyAllowance = MaxBodyBytes;
  Parser.eager(true);
  if (!Error)
    Error = co_await readLimited(Stream, Buffer, Parser, BodyAllowance);
  if (Error)
    throw boost::system::system_error(Error);
}

asio::awaitable<void> serve(tcp::socket Socket,
                            std::shared_ptr<const text_handler> Handler) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer{MaxUnparsedBytes};
  for (bool KeepAlive = true; KeepAlive;) {
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(MaxHeaderBytes);
    Parser.body_limit(MaxBodyBytes);
    Stream.expires_after(IdleTimeout);
    co_await readRequest(Stream, Buffer, Parser);
    const text_request Request = Parser.release();
    text_response Response = co_await answer(*Handler, Request);
    KeepAlive = Request.keep_alive();
    Response.keep_alive(KeepAlive);
    Stream.expires_after(WriteTimeout);
    co_await http::async_write(Stream, Response, asio::use_awaitable);
  }
}

} // namespace

simple_server::simple_server(asio::io_context &Io, const tcp::endpoint &Address,
                             text_handler Handler)
    : Acceptor(Io, Address) {
  spawn(Io.get_executor(),
        acceptLoop(Acceptor,
                   std::make_shared<const text_handler>(std::move(Handler))),
        "The listener for small messages");
}

tcp::endpoint simple_server::address() const {
  return Acceptor.local_endpoint();
}

void simple_server::stop() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

asio::awaitable<void>
simple_server::acceptLoop(tcp::acceptor &Acceptor,
                          std::shared_ptr<const text_handler> Handler) {
  while (Acceptor.is_open()) {
    auto Socket = co_await acceptNext(Acceptor);
    if (!Socket)
      continue;
    const auto Executor = Socket->get_executor();
    spawn(Executor, serve(std::move(*Socket), Handler),
          "A connection for small messages");
  }
}

} // namespace pomelo
