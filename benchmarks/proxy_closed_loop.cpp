#include "proxy_closed_loop.hpp"

#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace pomelo::bench {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using std::chrono::steady_clock;

constexpr std::chrono::seconds ExchangeTimeout{10};

asio::awaitable<void> sendUntil(asio::io_context &Io,
                                const std::string &Address,
                                steady_clock::time_point End,
                                load_result &Result) {
  beast::tcp_stream Stream(Io);
  Stream.expires_after(ExchangeTimeout);
  co_await Stream.async_connect(parseEndpoint(Address), asio::use_awaitable);
  Stream.socket().set_option(asio::ip::tcp::no_delay(true));
  beast::flat_buffer Buffer;
  http::request<http::empty_body> Request(http::verb::get, "/public/bench", 11);
  Request.set(http::field::host, Address);
  for (auto Sent = steady_clock::now(); Sent < End;
       Sent = steady_clock::now()) {
    Stream.expires_after(ExchangeTimeout);
    co_await http::async_write(Stream, Request, asio::use_awaitable);
    http::response<http::string_body> Response;
    co_await http::async_read(Stream, Buffer, Response, asio::use_awaitable);
    if (Response.result() != http::status::ok) {
      ++Result.Failures;
      continue;
    }
    ++Result.Requests;
    Result.Milliseconds.push_back(
        std::chrono::duration<double, std::milli>(steady_clock::now() - Sent)
            .count());
  }
}

} // namespace

double load_result::quantile(double Fraction) const {
  std::vector<double> Sorted = Milliseconds;
  if (Sorted.empty())
    return 0;
  const auto Position =
      Sorted.begin() + static_cast<std::ptrdiff_t>(
                           static_cast<double>(Sorted.size() - 1) * Fraction);
  std::nth_element(Sorted.begin(), Position, Sorted.end());
  return *Position;
}

load_result runClosedLoop(const std::string &Address, unsigned Connections,
                          std::chrono::milliseconds Duration) {
  asio::io_context Io{1};
  load_result Result;
  const auto Start = steady_clock::now();
  for (unsigned Number = 0; Number < Connections; ++Number)
    asio::co_spawn(Io, sendUntil(Io, Address, Start + Duration, Result),
                   [&Result](const std::exception_ptr &Failure) {
                     Result.Failures += Failure ? 1 : 0;
                   });
  Io.run();
  Result.Seconds =
      std::chrono::duration<double>(steady_clock::now() - Start).count();
  return Result;
}

} // namespace pomelo::bench
