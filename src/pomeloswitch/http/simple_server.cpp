#include "pomeloswitch/http/simple_server.hpp"

#include "pomeloswitch/http/accept_next.hpp"
#include "pomeloswitch/http/limited_read.hpp"
#include "pomeloswitch/http/spawn.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <exception>
#include <utility>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;
constexpr std::size_t MaxBodyBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds IdleTimeout{60000};
constexpr std::chrono::milliseconds WriteTimeout{10000};
//! For a caller that is slow to read while the server stops.
constexpr std::chrono::milliseconds LastWriteTimeout{1000};

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

//! Counts a call as open for its own lifetime.
class open_call {
public:
  explicit open_call(std::size_t &Count) : Count(Count) { ++Count; }
  ~open_call() { --Count; }
  open_call(const open_call &) = delete;
  open_call &operator=(const open_call &) = delete;

private:
  std::size_t &Count;
};

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

} // namespace

simple_server::simple_server(asio::io_context &Io, const tcp::endpoint &Address,
                             text_handler Handler)
    : Acceptor(Io, Address), Shared(std::make_shared<shared_state>()) {
  Shared->Handler = std::move(Handler);
  spawn(Io.get_executor(), acceptLoop(Acceptor, Shared),
        "The listener for small messages");
}

tcp::endpoint simple_server::address() const {
  return Acceptor.local_endpoint();
}

void simple_server::beginStop() {
  if (std::exchange(Shared->Stopping, true))
    return;
  closeAfterWaiting(Acceptor, [this](tcp::socket Socket) {
    admit(std::move(Socket), Shared);
  });
  Shared->Connections.cancelIdle();
}

asio::awaitable<void>
simple_server::acceptLoop(tcp::acceptor &Acceptor,
                          std::shared_ptr<shared_state> Shared) {
  while (Acceptor.is_open())
    if (auto Socket = co_await acceptNext(Acceptor))
      admit(std::move(*Socket), Shared);
}

void simple_server::admit(tcp::socket Socket,
                          const std::shared_ptr<shared_state> &Shared) {
  const auto Executor = Socket.get_executor();
  spawn(Executor, serve(Shared->Connections.add(std::move(Socket)), Shared),
        "A connection for small messages");
}

asio::awaitable<void>
simple_server::serve(std::unique_ptr<kept_connections::registration> Registered,
                     std::shared_ptr<shared_state> Shared) {
  kept_connection &Connection = Registered->connectionOf();
  Connection.Buffer.max_size(MaxUnparsedBytes);
  for (bool KeepAlive = true; KeepAlive;) {
    const error_code Error = co_await awaitRequest(
        Connection, Shared->Stopping ? LastRequestWait : IdleTimeout);
    if (Error)
      co_return;
    const serving_guard Serving(Connection);
    KeepAlive = co_await serveRequest(Connection, *Shared);
  }
}

//! Returns whether the connection may be kept.
asio::awaitable<bool> simple_server::serveRequest(kept_connection &Connection,
                                                  shared_state &Shared) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(MaxHeaderBytes);
  Parser.body_limit(MaxBodyBytes);
  Connection.Stream.expires_after(IdleTimeout);
  co_await readRequest(Connection.Stream, Connection.Buffer, Parser);
  const open_call OpenCall(Shared.OpenCalls);
  const text_request Request = Parser.release();
  text_response Response = co_await answer(Shared.Handler, Request);
  const bool KeepAlive = Request.keep_alive() && !Shared.Stopping;
  Response.keep_alive(KeepAlive);
  Connection.Stream.expires_after(Shared.Stopping ? LastWriteTimeout
                                                  : WriteTimeout);
  co_await http::async_write(Connection.Stream, Response, asio::use_awaitable);
  co_return KeepAlive;
}

} // namespace pomelo
