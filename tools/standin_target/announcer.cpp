#include "standin_target/announcer.hpp"

#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace pomelo::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds PostTimeout{700};
constexpr milliseconds RetryPause{50};

} // namespace

announcer::announcer(asio::io_context &Io, const target_options &Options,
                     std::string Address, grant_table &Grants)
    : Io(Io), Options(Options), Address(std::move(Address)), Grants(Grants),
      Incarnation(static_cast<std::uint64_t>(
          std::chrono::system_clock::now().time_since_epoch().count())) {}

asio::awaitable<void> announcer::run() {
  asio::steady_timer Timer(Io);
  for (;;) {
    milliseconds Pause = RetryPause;
    const steady_time SentAt = steady_clock::now();
    const std::string &Entry =
        Options.AnnounceAddresses[Next % Options.AnnounceAddresses.size()];
    try {
      applyAnswer(co_await post(Entry), SentAt);
      Pause = Interval;
    } catch (const std::exception &) {
      ++Next;
    }
    Timer.expires_after(Pause);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

std::string announcer::announcement() {
  const json::object Body{{"target_id", Options.TargetId},
                          {"incarnation", Incarnation},
                          {"service", Options.Service},
                          {"failure_domain", Options.FailureDomain},
                          {"address", Address},
                          {"slots", Options.Slots},
                          {"connections", Options.Connections},
                          {"checks_fence", Options.ChecksFence},
                          {"leaving", Leaving},
                          {"taken_index", Grants.takenIndex()},
                          {"settled_index", Grants.settledIndex()}};
  return json::serialize(Body);
}

asio::awaitable<std::string> announcer::post(const std::string &EntryAddress) {
  beast::tcp_stream Stream(Io);
  Stream.expires_after(PostTimeout);
  co_await Stream.async_connect(parseEndpoint(EntryAddress),
                                asio::use_awaitable);
  http::request<http::string_body> Request(http::verb::post, "/v1/announce",
                                           11);
  Request.set(http::field::host, EntryAddress);
  Request.set(http::field::authorization,
              fmt::format("Bearer {}", Options.Credential));
  Request.keep_alive(false);
  Request.body() = announcement();
  Request.prepare_payload();
  co_await http::async_write(Stream, Request, asio::use_awaitable);
  beast::flat_buffer Buffer;
  http::response<http::string_body> Response;
  co_await http::async_read(Stream, Buffer, Response, asio::use_awaitable);
  if (Response.result() != http::status::ok)
    throw std::runtime_error(Response.body());
  co_return Response.body();
}

void announcer::applyAnswer(const std::string &Body, steady_time SentAt) {
  const json::value Parsed = json::parse(Body);
  const json::object &Answer = Parsed.as_object();
  std::map<std::uint32_t, std::uint64_t> Granted;
  for (const auto &Item : Answer.at("grants").as_array())
    Granted[Item.at("slot").to_number<std::uint32_t>()] =
        Item.at("token").to_number<std::uint64_t>();
  const bool Empty = Granted.empty();
  const std::uint64_t Before = Grants.takenIndex();
  const auto Index = Answer.at("index").to_number<std::uint64_t>();
  Grants.take(Index, std::move(Granted),
              SentAt + milliseconds(Answer.at("lease_ms").to_number<int>()));
  Interval = Index > Before
                 ? RetryPause
                 : milliseconds(Answer.at("next_ms").to_number<int>());
  Left = Leaving && Empty;
}

} // namespace pomelo::standin
