#include "caller/replay.hpp"

#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <xxhash.h>

#include <sys/socket.h>

#include <cerrno>

namespace pomelo::caller {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using std::chrono::steady_clock;

constexpr std::string_view RequestIdField = "X-Request-Id";
constexpr int MaxConnectAttempts = 4;

std::int64_t unixNowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

//! Returns whether the peer has neither closed nor reset an idle connection.
bool isStillOpen(asio::ip::tcp::socket &Socket) {
  char Byte = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

//! Returns whether a target's response describes the request that was sent;
//! sets \p Target to the target named in a valid JSON body.
bool matchesRequest(const http::response<http::string_body> &Response,
                    const trace_request &Request, const std::string &SentBody,
                    std::string &Target) {
  boost::system::error_code Error;
  const json::value Body = json::parse(Response.body(), Error);
  if (Error || !Body.is_object())
    return false;
  const json::object &Object = Body.as_object();
  const auto Text = [&Object](std::string_view Name) -> std::string_view {
    const json::value *Value = Object.if_contains(Name);
    return Value && Value->is_string() ? std::string_view(Value->as_string())
                                       : std::string_view();
  };
  Target = Text("target");
  const std::string Hash =
      fmt::format("{:016x}", XXH3_64bits(SentBody.data(), SentBody.size()));
  return Response[RequestIdField] == Request.Id &&
         Text("request_id") == Request.Id && Text("path") == Request.Path &&
         Text("body_hash") == Hash;
}

void recordResponse(const http::response<http::string_body> &Response,
                    const trace_request &Request, const std::string &SentBody,
                    outcome &Outcome) {
  Outcome.Status = static_cast<int>(Response.result_int());
  if (Outcome.answered()) {
    Outcome.RunState = "ran";
    Outcome.Mismatched =
        Request.Method != "HEAD" &&
        !matchesRequest(Response, Request, SentBody, Outcome.Target);
    return;
  }
  Outcome.Error = Response[ErrorField];
  if (Outcome.Error.empty())
    Outcome.Error = fmt::format("status_{}", Outcome.Status);
  Outcome.RunState = Response[RunStateField];
  if (Outcome.RunState.empty())
    Outcome.RunState = "unknown";
}

} // namespace

replay::replay(asio::io_context &Io, replay_options ReplayOptions,
               trace ReplayTrace)
    : Io(Io), Options(std::move(ReplayOptions)), Trace(std::move(ReplayTrace)),
      Balancer(Io, Options.Entries, Options.Seed),
      Idle(Options.Entries.size()) {}

void replay::start() {
  Balancer.start();
  asio::co_spawn(Io, schedule(), asio::detached);
}

asio::awaitable<void> replay::schedule() {
  const auto Start = steady_clock::now();
  asio::steady_timer Timer(Io);
  finishIfDone();
  for (const trace_request &Request : Trace) {
    const auto Due = Start + Request.At;
    Timer.expires_at(Due);
    co_await Timer.async_wait(asio::use_awaitable);
    asio::co_spawn(Io, send(Request, Due), asio::detached);
  }
}

asio::awaitable<void> replay::send(trace_request Request,
                                   steady_clock::time_point Due) {
  outcome Outcome;
  Outcome.Request = Request;
  Outcome.DueUs = unixNowUs();
  Outcome.RunState = "not_run";
  try {
    connection_ptr Connection = co_await connect();
    Outcome.Entry = Balancer.entries()[Connection->Entry].CallerAddress;
    Outcome.SentUs = unixNowUs();
    Outcome.RunState = "unknown";
    const bool KeepAlive = co_await exchange(*Connection, Request, Outcome);
    if (KeepAlive)
      returnToPool(std::move(Connection));
  } catch (const boost::system::system_error &Failure) {
    Outcome.Error = Failure.code() == beast::error::timeout ? "no_answer"
                    : Outcome.SentUs == 0                   ? "no_connection"
                                                            : "broken";
  }
  Outcome.DoneUs = unixNowUs();
  Outcome.Latency = steady_clock::now() - Due;
  Outcomes.push_back(std::move(Outcome));
  finishIfDone();
}

replay::connection_ptr replay::takeIdle(std::size_t Entry) {
  while (!Idle[Entry].empty()) {
    connection_ptr Connection = std::move(Idle[Entry].back());
    Idle[Entry].pop_back();
    if (isStillOpen(Connection->Stream.socket()))
      return Connection;
  }
  return nullptr;
}

asio::awaitable<replay::connection_ptr> replay::connect() {
  for (int Attempt = 1;; ++Attempt) {
    const std::size_t Entry = Balancer.choose();
    connection_ptr Reused = takeIdle(Entry);
    if (Reused)
      co_return Reused;
    auto NewConnection = std::make_unique<connection>(Io);
    NewConnection->Entry = Entry;
    NewConnection->Stream.expires_after(Options.Timeout);
    boost::system::error_code Error;
    co_await NewConnection->Stream.async_connect(
        parseEndpoint(Balancer.entries()[Entry].CallerAddress),
        asio::redirect_error(asio::use_awaitable, Error));
    if (!Error) {
      NewConnection->Stream.socket().set_option(asio::ip::tcp::no_delay(true));
      co_return NewConnection;
    }
    Balancer.markUnavailable(Entry);
    if (Attempt == MaxConnectAttempts)
      throw boost::system::system_error(Error);
  }
}

asio::awaitable<bool> replay::exchange(connection &Connection,
                                       const trace_request &Request,
                                       outcome &Outcome) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Path);
  Message.set(http::field::host, Outcome.Entry);
  Message.set(RequestIdField, Request.Id);
  const auto Key = Options.Keys.find(Request.Account);
  if (Key != Options.Keys.end())
    Message.set(http::field::authorization, "Bearer " + Key->second);
  Message.body() = makeBody(Request);
  Message.prepare_payload();
  Connection.Stream.expires_after(Options.Timeout);
  co_await http::async_write(Connection.Stream, Message, asio::use_awaitable);
  http::response_parser<http::string_body> Parser;
  Parser.skip(Request.Method == "HEAD");
  co_await http::async_read(Connection.Stream, Connection.Buffer, Parser,
                            asio::use_awaitable);
  recordResponse(Parser.get(), Request, Message.body(), Outcome);
  co_return Parser.get().keep_alive();
}

void replay::returnToPool(connection_ptr Connection) {
  // Connections to an excluded host are closed so that it gets no requests.
  const std::size_t Entry = Connection->Entry;
  if (Balancer.ready(Entry))
    Idle[Entry].push_back(std::move(Connection));
}

void replay::finishIfDone() {
  if (Outcomes.size() == Trace.size())
    Io.stop();
}

std::vector<outcome> runReplay(const replay_options &Options,
                               const trace &Trace) {
  asio::io_context Io{1};
  replay Replay(Io, Options, Trace);
  Replay.start();
  Io.run();
  return Replay.outcomes();
}

} // namespace pomelo::caller
