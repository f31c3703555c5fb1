#include "standin_target/target_server.hpp"

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
using std::chrono::steady_clock;

constexpr std::size_t ReadChunkBytes = 256 * 1024;
constexpr std::string_view CrashPath = "/standin/crash";
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

http::response<http::string_body> refuse(std::string_view Reason) {
  http::response<http::string_body> Response(http::status::service_unavailable,
                                             11);
  Response.set(NotRunField, Reason);
  Response.body() = fmt::format("not run: {}\n", Reason);
  return Response;
}

} // namespace

target_server::target_server(asio::io_context &Io,
                             const target_options &Options, grant_book &Grants,
                             journal &Journal)
    : Io(Io), Options(Options), Grants(Grants), Journal(Journal),
      Slots(Io, Options.Slots, Options.QueueLength),
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
    response Response = co_await answer(Parser, Received);
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
target_server::answer(const parser &Parser, const received &Received) {
  if (!co_await Slots.enter())
    co_return refuse("shed");
  struct held_slot {
    work_slots &Slots;
    ~held_slot() { Slots.leave(); }
  } Held{Slots};
  const auto Deadline =
      static_cast<std::int64_t>(numberOf(Parser.get()[DeadlineField]));
  if (Deadline != 0 && unixNowMs() >= Deadline)
    co_return refuse("deadline");
  if (!fenceAllows(Parser))
    co_return refuse("fence");
  const bool Keyed = Parser.get().count(SlotField) > 0;
  const auto Slot =
      static_cast<std::uint32_t>(numberOf(Parser.get()[SlotField]));
  if (Keyed)
    Grants.begin(Slot);
  response Response = run(Parser, Received);
  const std::uint64_t Execution = Executions;
  co_await work();
  if (Keyed)
    Grants.end(Slot);
  Journal.write("end", {{"execution", Execution}});
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

asio::awaitable<void> target_server::work() {
  asio::steady_timer Timer(Io, Options.Work);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace pomelo::standin
