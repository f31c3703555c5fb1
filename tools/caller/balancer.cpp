#include "caller/balancer.hpp"

#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>

namespace pomelo::caller {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::milliseconds ProbeInterval{100};
constexpr std::chrono::milliseconds ProbeTimeout{500};

} // namespace

balancer::balancer(asio::io_context &Io, std::vector<entry_address> Given,
                   std::uint64_t Seed)
    : Io(Io), Entries(std::move(Given)), Ready(Entries.size(), true),
      Random(Seed) {}

void balancer::start() {
  for (std::size_t Number = 0; Number < Entries.size(); ++Number)
    if (!Entries[Number].OpsAddress.empty())
      asio::co_spawn(Io, probeLoop(Number), asio::detached);
}

std::size_t balancer::choose() {
  double Sum = 0;
  for (std::size_t Number = 0; Number < Entries.size(); ++Number)
    Sum += Ready[Number] ? Entries[Number].Weight : 0;
  if (Sum <= 0)
    return Random() % Entries.size();
  double Rest = std::uniform_real_distribution<double>(0, Sum)(Random);
  std::size_t Last = 0;
  for (std::size_t Number = 0; Number < Entries.size(); ++Number) {
    if (!Ready[Number])
      continue;
    Last = Number;
    Rest -= Entries[Number].Weight;
    if (Rest < 0)
      break;
  }
  return Last;
}

asio::awaitable<void> balancer::probeLoop(std::size_t Number) {
  asio::steady_timer Timer(Io);
  for (;;) {
    bool Answered = true;
    try {
      co_await probe(Number);
    } catch (const std::exception &) {
      Answered = false;
    }
    Ready[Number] = Answered;
    Timer.expires_after(ProbeInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> balancer::probe(std::size_t Number) {
  const std::string &Address = Entries[Number].OpsAddress;
  beast::tcp_stream Stream(Io);
  Stream.expires_after(ProbeTimeout);
  co_await Stream.async_connect(parseEndpoint(Address), asio::use_awaitable);
  http::request<http::empty_body> Request(http::verb::get, "/readyz", 11);
  Request.set(http::field::host, Address);
  Request.keep_alive(false);
  co_await http::async_write(Stream, Request, asio::use_awaitable);
  beast::flat_buffer Buffer;
  http::response<http::string_body> Response;
  co_await http::async_read(Stream, Buffer, Response, asio::use_awaitable);
  if (Response.result() != http::status::ok)
    throw std::runtime_error("not ready");
}

} // namespace pomelo::caller
