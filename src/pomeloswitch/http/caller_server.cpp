#include "pomeloswitch/http/caller_server.hpp"

#include "pomeloswitch/http/accept_next.hpp"
#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/http/exchange.hpp"
#include "pomeloswitch/http/limited_read.hpp"
#include "pomeloswitch/http/request_checks.hpp"
#include "pomeloswitch/http/spawn.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr auto RefusalTimeout = std::chrono::seconds(2);
constexpr std::size_t DiscardChunkBytes = 4096;
constexpr std::size_t MaxDiscardedBytes = 64 * 1024;

tcp::acceptor listenOn(asio::io_context &Io, const tcp::endpoint &Address) {
  tcp::acceptor Acceptor(Io);
  Acceptor.open(Address.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.set_option(reuse_port(true));
  Acceptor.bind(Address);
  Acceptor.listen();
  return Acceptor;
}

//! Sends an error response and shuts down the sending side. Further data from
//! the caller is discarded, not parsed as a request.
asio::awaitable<void> sendRefusal(beast::tcp_stream &Stream,
                                  const target_dialect &Dialect,
                                  const pomelo_error &Refusal) {
  auto Response = Dialect.errorResponse(Refusal, 11);
  Response.keep_alive(false);
  Stream.expires_after(RefusalTimeout);
  co_await http::async_write(Stream, Response, asio::use_awaitable);
  error_code Ignored;
  Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  // If unread bytes remained when the socket is closed, the kernel would reset
  // the connection, possibly before the caller has read the response.
  std::array<char, DiscardChunkBytes> Rest{};
  std::size_t Count = 1;
  for (std::size_t Read = 0; Count > 0 && Read < MaxDiscardedBytes;
       Read += Count)
    Count = co_await Stream.async_read_some(
        asio::buffer(Rest), asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<void> refuseConnection(tcp::socket Socket,
                                       const target_dialect &Dialect) {
  beast::tcp_stream Stream(std::move(Socket));
  const pomelo_error Refusal(
      error_kind::Overloaded,
      "this entry host has reached its connection limit");
  co_await sendRefusal(Stream, Dialect, Refusal);
}

} // namespace

caller_server::caller_server(traffic_context &Context,
                             const tcp::endpoint &Address, caller_limits Limits)
    : Context(Context), Acceptor(listenOn(Context.Io, Address)),
      Limits(Limits) {
  spawn(Context.Io.get_executor(), acceptLoop(), "The callers' listener");
}

tcp::endpoint caller_server::address() const {
  return Acceptor.local_endpoint();
}

void caller_server::beginStop() {
  closeAfterWaiting(Acceptor,
                    [this](tcp::socket Socket) { admit(std::move(Socket)); });
  Connections.cancelIdle();
}

asio::awaitable<void> caller_server::acceptLoop() {
  while (Acceptor.is_open())
    if (auto Accepted = co_await acceptNext(Acceptor))
      admit(std::move(*Accepted));
}

void caller_server::admit(tcp::socket Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  if (Connections.size() >= Limits.Connections)
    return spawn(Context.Io.get_executor(),
                 refuseConnection(std::move(Socket), Context.Dialect),
                 "The refusal of a connection");
  // Registered before its coroutine runs: the server is not idle in between.
  spawn(Context.Io.get_executor(), serve(Connections.add(std::move(Socket))),
        "A caller's connection");
}

//! Closing the connection after an error signals an incomplete response to the
//! caller.
asio::awaitable<void> caller_server::serve(
    std::unique_ptr<kept_connections::registration> Registered) {
  co_await serveRequests(Registered->connectionOf());
}

asio::awaitable<void>
caller_server::serveRequests(kept_connection &Connection) {
  for (bool KeepAlive = true; KeepAlive;) {
    request_stream_parser Parser;
    Parser.header_limit(callerBounds().HeaderBytes);
    Parser.body_limit(boost::none);
    const bool Read = co_await readHeader(Connection, Parser);
    if (!Read)
      co_return;
    const serving_guard Serving(Connection);
    exchange Exchange(Context, Connection.Stream, Connection.Buffer, Parser);
    KeepAlive = co_await Exchange.run();
  }
}

const caller_bounds &caller_server::callerBounds() const {
  static const caller_bounds Defaults;
  return Context.View->Rules ? Context.View->Rules->Callers : Defaults;
}

asio::awaitable<bool> caller_server::readHeader(kept_connection &Connection,
                                                request_stream_parser &Parser) {
  std::size_t Allowance = callerBounds().HeaderBytes;
  Connection.Buffer.max_size(
      std::max({Allowance, MaxUnparsedBytes, Connection.Buffer.size()}));
  const std::chrono::milliseconds IdleTimeout(callerBounds().IdleTimeoutMs);
  error_code Error = co_await awaitRequest(
      Connection,
      Context.Stopping ? std::min(IdleTimeout, LastRequestWait) : IdleTimeout);
  if (Error)
    co_return false;
  Connection.Stream.expires_after(
      std::min(Limits.HeaderTimeout,
               std::chrono::milliseconds(callerBounds().HeaderTimeoutMs)));
  Error = co_await readLimited(Connection.Stream, Connection.Buffer, Parser,
                               Allowance);
  if (Error == asio::error::eof || Error == beast::error::timeout)
    co_return false;
  std::optional<pomelo_error> Refusal;
  try {
    if (Error)
      throw pomelo_error(Error == http::error::header_limit ||
                                 Error == http::error::buffer_overflow
                             ? error_kind::HeaderTooLarge
                             : error_kind::BadRequest,
                         Error.message());
    checkRequestHeader(Parser.get());
  } catch (const pomelo_error &Failure) {
    Refusal = Failure;
  }
  if (Refusal)
    co_await sendRefusal(Connection.Stream, Context.Dialect, *Refusal);
  co_return !Refusal;
}

} // namespace pomelo
