#include "pomeloswitch/http/caller_server.hpp"

#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/http/exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <chrono>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;
constexpr auto IdleTimeout = std::chrono::seconds(60);

tcp::acceptor listenOn(asio::io_context &Io, const tcp::endpoint &Address) {
  tcp::acceptor Acceptor(Io);
  Acceptor.open(Address.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.set_option(reuse_port(true));
  Acceptor.bind(Address);
  Acceptor.listen();
  return Acceptor;
}

} // namespace

struct caller_server::connection {
  explicit connection(tcp::socket Socket) : Stream(std::move(Socket)) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  bool Serving = false;
};

caller_server::caller_server(traffic_context &Context,
                             const tcp::endpoint &Address,
                             std::size_t MaxConnections)
    : Context(Context), Acceptor(listenOn(Context.Io, Address)),
      MaxConnections(MaxConnections) {
  asio::co_spawn(Context.Io, acceptLoop(), asio::detached);
}

tcp::endpoint caller_server::address() const {
  return Acceptor.local_endpoint();
}

void caller_server::beginStop() {
  error_code Ignored;
  Acceptor.close(Ignored);
  for (const auto &Connection : Connections)
    if (!Connection->Serving)
      Connection->Stream.socket().shutdown(tcp::socket::shutdown_receive,
                                           Ignored);
}

asio::awaitable<void> caller_server::acceptLoop() {
  while (Acceptor.is_open()) {
    error_code Error;
    tcp::socket Socket = co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error || Connections.size() >= MaxConnections)
      continue;
    Socket.set_option(tcp::no_delay(true), Error);
    auto Connection = std::make_shared<connection>(std::move(Socket));
    asio::co_spawn(Context.Io, serve(std::move(Connection)), asio::detached);
  }
}

asio::awaitable<void>
caller_server::serve(std::shared_ptr<connection> Connection) {
  Connections.insert(Connection);
  try {
    co_await serveRequests(*Connection);
  } catch (const boost::system::system_error &) {
    // The caller went away or its answer broke off; closing tells it so.
  }
  Connections.erase(Connection);
}

asio::awaitable<void> caller_server::serveRequests(connection &Connection) {
  for (bool KeepAlive = true; KeepAlive && !Context.Stopping;) {
    request_stream_parser Parser;
    Parser.header_limit(MaxHeaderBytes);
    Parser.body_limit(boost::none);
    Connection.Stream.expires_after(IdleTimeout);
    error_code Error;
    co_await http::async_read_header(
        Connection.Stream, Connection.Buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error == http::error::end_of_stream || Error == beast::error::timeout)
      co_return;
    if (Error) {
      const auto Kind = Error == http::error::header_limit
                            ? error_kind::HeaderTooLarge
                            : error_kind::BadRequest;
      auto Response = makeErrorResponse(Kind, Error.message(), 11);
      Response.keep_alive(false);
      co_await http::async_write(Connection.Stream, Response,
                                 asio::use_awaitable);
      co_return;
    }
    Connection.Serving = true;
    ++Context.OpenRequests;
    struct open_request {
      traffic_context &Context;
      connection &Connection;
      ~open_request() {
        --Context.OpenRequests;
        Connection.Serving = false;
      }
    } Open{Context, Connection};
    exchange Exchange(Context, Connection.Stream, Connection.Buffer, Parser);
    KeepAlive = co_await Exchange.run();
  }
}

} // namespace pomelo
