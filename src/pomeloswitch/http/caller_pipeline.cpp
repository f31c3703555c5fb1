#include "pomeloswitch/http/caller_pipeline.hpp"

#include "pomeloswitch/http/request_checks.hpp"
#include "pomeloswitch/routing/route_table.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace pomelo {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

struct caller_pipeline::request {
  request(caller_pipeline &Pipeline,
          std::unique_ptr<request_stream_parser> Received)
      : Pipeline(Pipeline.shared_from_this()), Parser(std::move(Received)),
        Turn(Pipeline.Queue), Exchange(Pipeline.Context, Pipeline.Caller,
                                       Pipeline.Buffer, *Parser, Turn) {
    Pipeline.Requests.push_back(this);
  }
  ~request() { Pipeline->Requests.remove(this); }
  request(const request &) = delete;
  request &operator=(const request &) = delete;

  std::shared_ptr<caller_pipeline> Pipeline;
  std::unique_ptr<request_stream_parser> Parser;
  response_turn Turn;
  exchange Exchange;
};

caller_pipeline::caller_pipeline(traffic_context &Context,
                                 std::shared_ptr<void> Owner,
                                 boost::beast::tcp_stream &Caller,
                                 boost::beast::flat_buffer &Buffer,
                                 std::size_t HeaderBytes)
    : Context(Context), Owner(std::move(Owner)), Caller(Caller), Buffer(Buffer),
      HeaderBytes(HeaderBytes), Queue(Caller.get_executor()),
      AllEnded(Caller.get_executor()) {}

asio::awaitable<bool>
caller_pipeline::serve(std::unique_ptr<request_stream_parser> First) {
  const bool MayPipeline = mayPipeline(*First);
  auto Request = add(std::move(First));
  Enabled = Enabled && MayPipeline;
  lookAhead();
  co_await run(std::move(Request));
  co_await awaitAll();
  Observer.reset();
  if (Failure)
    std::rethrow_exception(Failure);
  co_return KeepAlive;
}

asio::awaitable<void> caller_pipeline::awaitAll() {
  while (!Requests.empty()) {
    AllEnded.expires_at(asio::steady_timer::time_point::max());
    error_code Ignored;
    co_await AllEnded.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

//! Whether the request may run beside those around it. One without a route is
//! refused in its turn.
bool caller_pipeline::mayPipeline(const request_stream_parser &Request) const {
  const auto &Header = Request.get();
  if (!Request.is_done() || Header.count(http::field::expect) > 0 ||
      !Context.View->Rules)
    return false;
  const request_attributes Facts{
      Header.method_string(), Header.target(), Header[http::field::host],
      [&Header](std::string_view Name) -> std::string_view {
        return Header[Name];
      }};
  const route *Route = findRoute(*Context.View->Rules, Facts);
  return Route && Route->Idempotent;
}

//! A host that stops announces the close in the last response that it has
//! started, so it starts no more.
bool caller_pipeline::mayStartMore() const {
  return Enabled && !Queue.closing() && !Context.Stopping && !Context.EndsAt;
}

std::shared_ptr<caller_pipeline::request>
caller_pipeline::add(std::unique_ptr<request_stream_parser> Parser) {
  Enabled = Parser->get().keep_alive();
  return std::make_shared<request>(*this, std::move(Parser));
}

asio::awaitable<void> caller_pipeline::run(std::shared_ptr<request> Request) {
  const auto Self = shared_from_this();
  try {
    const bool Reusable = co_await Request->Exchange.run();
    KeepAlive = KeepAlive && Reusable;
    if (!Reusable)
      Queue.end();
  } catch (...) {
    fail(std::current_exception());
  }
  Request.reset();
  if (Requests.empty())
    AllEnded.cancel();
  else
    lookAhead();
}

//! Starts the requests that have arrived.
void caller_pipeline::lookAhead() {
  while (mayStartMore() && Queue.size() < MaxPipelinedRequests && startNext())
    ;
}

//! Returns whether a request was started.
bool caller_pipeline::startNext() {
  auto Parser = parseNext();
  while (!Parser && Enabled && readAvailable())
    Parser = parseNext();
  if (!Parser) {
    if (Enabled)
      observeInput();
    return false;
  }
  Pipelined = true;
  auto Request = add(std::move(Parser));
  asio::co_spawn(Context.Io, run(std::move(Request)), asio::detached);
  return true;
}

//! Takes the next request from the buffer if its header is complete and it may
//! be started now. Disables the pipeline if it must wait for its turn.
std::unique_ptr<request_stream_parser> caller_pipeline::parseNext() {
  const std::string_view Received(
      static_cast<const char *>(Buffer.data().data()), Buffer.size());
  if (Received.find("\r\n\r\n") == std::string_view::npos) {
    Enabled = Buffer.size() < HeaderBytes;
    return nullptr;
  }
  auto Parser = std::make_unique<request_stream_parser>();
  Parser->header_limit(static_cast<std::uint32_t>(HeaderBytes));
  Parser->body_limit(boost::none);
  error_code Error;
  const std::size_t Count = Parser->put(Buffer.data(), Error);
  Enabled = !Error && Parser->is_done() && Count <= HeaderBytes;
  try {
    if (Enabled)
      checkRequestHeader(Parser->get());
  } catch (const pomelo_error &) {
    Enabled = false;
  }
  Enabled = Enabled && mayPipeline(*Parser);
  if (!Enabled)
    return nullptr;
  Buffer.consume(Count);
  return Parser;
}

//! Reads what has arrived, without waiting. Returns whether there was any.
bool caller_pipeline::readAvailable() {
  error_code Error;
  const std::size_t Available = Caller.socket().available(Error);
  const std::size_t Space = HeaderBytes - std::min(HeaderBytes, Buffer.size());
  const std::size_t Size = std::min(Available, Space);
  if (Error || Size == 0)
    return false;
  const std::size_t Count =
      Caller.socket().read_some(Buffer.prepare(Size), Error);
  Buffer.commit(Count);
  return !Error && Count > 0;
}

void caller_pipeline::observeInput() {
  Observer.emplace(Caller.socket(),
                   [this](input_state State) { onInput(State); });
}

//! The caller of a single request is observed by its exchange alone.
void caller_pipeline::onInput(input_state State) {
  if (State == input_state::Data)
    lookAhead();
  else if (State == input_state::Ended && Pipelined)
    fail(std::make_exception_ptr(boost::system::system_error(
        make_error_code(boost::system::errc::connection_aborted))));
}

//! Closes the connection and cancels the requests that are in progress.
void caller_pipeline::fail(std::exception_ptr Cause) {
  if (Failure)
    return;
  Failure = std::move(Cause);
  Queue.end();
  for (request *Request : Requests)
    Request->Exchange.cancel();
  if (Pipelined)
    Caller.close();
}

} // namespace pomelo
