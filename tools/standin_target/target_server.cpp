#include "standin_target/target_server.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/http/forwarded_headers.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <xxhash.h>

#include <sys/socket.h>

#include <cstdlib>
#include <memory>
#include <vector>

namespace pomelo::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::size_t ReadChunkBytes = 256 * 1024;
constexpr std::string_view CrashPath = "/standin/crash";
constexpr std::string_view ControlPath = "/standin/control";
constexpr std::string_view HealthPath = "/health";
constexpr std::string_view LoadPath = "/load";
constexpr std::chrono::milliseconds FreezeCheckInterval{10};
constexpr int CrashExitCode = 70;

std::uint64_t numberOf(std::string_view Text) {
  return Text.empty() ? 0
                      : std::strtoull(std::string(Text).c_str(), nullptr, 10);
}

std::int64_t unixNowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

http::response<http::string_body> makeNotRunResponse(std::string_view Reason) {
  http::response<http::string_body> Response(http::status::service_unavailable,
                                             11);
  Response.set(NotRunField, Reason);
  Response.body() = fmt::format("not run: {}\n", Reason);
  return Response;
}

bool isOwnEndpoint(std::string_view Path) {
  return Path == ControlPath || Path == HealthPath || Path == LoadPath;
}

//! Whether a readable socket is readable because the peer closed it.
bool peerClosed(tcp::socket &Socket) {
  char Byte = 0;
  return ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

} // namespace

target_server::target_server(asio::io_context &Io,
                             const target_options &Options, grant_table &Grants,
                             journal &Journal)
    : Io(Io), Options(Options), Behaviour(Options), Grants(Grants),
      Journal(Journal), Slots(Io, Options.Slots, Options.QueueLength),
      Acceptor(Io, parseEndpoint(Options.Address)) {
  asio::co_spawn(Io, acceptLoop(), asio::detached);
}

tcp::endpoint target_server::address() const {
  return Acceptor.local_endpoint();
}

asio::awaitable<void> target_server::acceptLoop() {
  for (;;) {
    tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    if (Connections >= Options.Connections) {
      Journal.write("connection_refused", {{"connections", Connections}});
      continue;
    }
    asio::co_spawn(Io, serve(std::move(Socket)), asio::detached);
  }
}

asio::awaitable<void> target_server::serve(tcp::socket Socket) {
  struct open_connection {
    std::uint32_t &Count;
    explicit open_connection(std::uint32_t &Count) : Count(Count) { ++Count; }
    ~open_connection() { --Count; }
  } Open(Connections);
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  asio::steady_timer Cost(Io, Options.ConnectionCost);
  co_await Cost.async_wait(asio::use_awaitable);
  for (bool KeepAlive = true; KeepAlive;) {
    parser Parser;
    Parser.body_limit(boost::none);
    co_await http::async_read_header(Stream, Buffer, Parser,
                                     asio::use_awaitable);
    open_connection OpenRequest(OpenRequests);
    const received Received = co_await readBody(Stream, Buffer, Parser);
    response Response;
    if (isOwnEndpoint(Parser.get().target()))
      Response = answerOwnEndpoint(Parser, Received);
    else
      Response = co_await answer(Stream.socket(), Parser, Received);
    KeepAlive = Parser.keep_alive();
    Response.keep_alive(KeepAlive);
    Response.prepare_payload();
    if (Parser.get().method() == http::verb::head)
      Response.body().clear();
    co_await http::async_write(Stream, Response, asio::use_awaitable);
  }
}

asio::awaitable<target_server::received>
target_server::readBody(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                        parser &Parser) {
  received Received;
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> Hash(
      XXH3_createState(), XXH3_freeState);
  XXH3_64bits_reset(Hash.get());
  std::vector<char> Chunk;
  while (!Parser.is_done()) {
    Chunk.resize(ReadChunkBytes);
    Parser.get().body().data = Chunk.data();
    Parser.get().body().size = Chunk.size();
    boost::system::error_code Error;
    co_await http::async_read(Stream, Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, Error));
    if (Error && Error != http::error::need_buffer)
      throw boost::system::system_error(Error);
    const std::size_t Count = Chunk.size() - Parser.get().body().size;
    XXH3_64bits_update(Hash.get(), Chunk.data(), Count);
    if (Parser.get().target() == ControlPath)
      Received.Text.append(Chunk.data(), Count);
    Received.BodyBytes += Count;
  }
  Received.BodyHash = XXH3_64bits_digest(Hash.get());
  co_return Received;
}

bool target_server::fenceAllows(const parser &Parser) const {
  if (!Options.ChecksFence || !Parser.get().count(FenceField))
    return true;
  return Grants.allows(
      static_cast<std::uint32_t>(numberOf(Parser.get()[SlotField])),
      numberOf(Parser.get()[FenceField]), steady_clock::now());
}

asio::awaitable<target_server::response>
target_server::answer(tcp::socket &Socket, const parser &Parser,
                      const received &Received) {
  co_await waitWhileFrozen();
  if (Behaviour.shedsCold(OpenRequests))
    co_return makeNotRunResponse("cold");
  const bool Acquired = co_await Slots.acquire();
  if (!Acquired)
    co_return makeNotRunResponse("shed");
  struct slot_guard {
    work_slots &Slots;
    ~slot_guard() { Slots.release(); }
  } SlotGuard{Slots};
  const auto Deadline =
      static_cast<std::int64_t>(numberOf(Parser.get()[DeadlineField]));
  if (Deadline != 0 && unixNowMs() >= Deadline)
    co_return makeNotRunResponse("deadline");
  if (!fenceAllows(Parser))
    co_return makeNotRunResponse("fence");
  const bool Keyed = Parser.get().count(SlotField) > 0;
  const auto Slot =
      static_cast<std::uint32_t>(numberOf(Parser.get()[SlotField]));
  if (Keyed)
    Grants.begin(Slot);
  response Response = run(Parser, Received);
  const std::uint64_t Execution = Executions;
  const bool Finished = co_await work(Socket);
  if (Keyed)
    Grants.end(Slot);
  Behaviour.requestServed();
  Journal.write(Finished ? "end" : "cancelled", {{"execution", Execution}});
  if (!Finished)
    throw boost::system::system_error(asio::error::operation_aborted);
  co_return Response;
}

target_server::response target_server::run(const parser &Parser,
                                           const received &Received) {
  const auto &Header = Parser.get();
  ++Executions;
  Journal.write(
      "start",
      {{"execution", Executions},
       {"method", std::string_view(Header.method_string())},
       {"path", std::string_view(Header.target())},
       {"slot", std::string_view(Header[SlotField])},
       {"token", std::string_view(Header[FenceField])},
       {"account", std::string_view(Header[AccountField])},
       {"request_id", std::string_view(Header["X-Request-Id"])},
       {"authorization", Header.count(http::field::authorization) > 0}});
  if (Header.target() == CrashPath)
    std::_Exit(CrashExitCode);
  response Response(http::status::ok, 11);
  Response.set(http::field::content_type, "application/json");
  Response.set("X-Request-Id", Header["X-Request-Id"]);
  Response.body() = json::serialize(
      json::object{{"target", Options.TargetId},
                   {"path", std::string_view(Header.target())},
                   {"request_id", std::string_view(Header["X-Request-Id"])},
                   {"execution", Executions},
                   {"body_bytes", Received.BodyBytes},
                   {"body_hash", fmt::format("{:016x}", Received.BodyHash)}});
  return Response;
}

target_server::response
target_server::answerOwnEndpoint(const parser &Parser,
                                 const received &Received) {
  response Response(http::status::ok, 11);
  Response.set(http::field::content_type, "application/json");
  const auto Path = Parser.get().target();
  if (Path == ControlPath) {
    try {
      Behaviour.control(Received.Text);
    } catch (const pomelo_error &Failure) {
      Response.result(http::status::bad_request);
      Response.body() = Failure.what();
    }
  } else if (Path == LoadPath) {
    Response.body() = json::serialize(
        Behaviour.reportLoad({steady_clock::now(), Slots.running(),
                              static_cast<std::uint32_t>(Slots.queued())}));
  } else if (!Behaviour.reportsHealthy()) {
    Response.result(http::status::service_unavailable);
  }
  return Response;
}

asio::awaitable<void> target_server::waitWhileFrozen() {
  asio::steady_timer Timer(Io);
  while (Behaviour.frozen()) {
    Timer.expires_after(FreezeCheckInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<bool> target_server::work(tcp::socket &Socket) {
  const auto Timer = std::make_shared<asio::steady_timer>(Io, Behaviour.work());
  const auto Cancelled = std::make_shared<bool>(false);
  Socket.async_wait(tcp::socket::wait_read,
                    [&Socket, Timer, Cancelled](error_code Error) {
                      if (Error || !peerClosed(Socket))
                        return;
                      *Cancelled = true;
                      Timer->cancel();
                    });
  error_code Ignored;
  co_await Timer->async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  Socket.cancel(Ignored);
  co_return !*Cancelled;
}

} // namespace pomelo::standin
