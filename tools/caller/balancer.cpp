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

balancer::balancer(asio::io_context &Io,
                   std::vector<entry_address> EntryAddresses,
                   std::uint64_t Seed)
    : Io(Io), Entries(std::move(EntryAddresses)), Ready(Entries.size(), true),
      Random(Seed) {}

void balancer::start() {
  for (std::size_t Index = 0; Index < Entries.size(); ++Index)
    if (!Entries[Index].OpsAddress.empty())
      asio::co_spawn(Io, probeLoop(Index), asio::detached);
}

std::size_t balancer::choose() {
  double TotalWeight = 0;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index)
    TotalWeight += Ready[Index] ? Entries[Index].Weight : 0;
  if (TotalWeight <= 0)
    return Random() % Entries.size();
  double Remaining =
      std::uniform_real_distribution<double>(0, TotalWeight)(Random);
  std::size_t LastReady = 0;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    if (!Ready[Index])
      continue;
    LastReady = Index;
    Remaining -= Entries[Index].Weight;
    if (Remaining < 0)
      break;
  }
  return LastReady;
}

asio::awaitable<void> balancer::probeLoop(std::size_t Index) {
  asio::steady_timer Timer(Io);
  for (;;) {
    bool Answered = true;
    try {
      co_await probe(Index);
    } catch (const std::exception &) {
      Answered = false;
    }
    Ready[Index] = Answered;
    Timer.expires_after(ProbeInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> balancer::probe(std::size_t Index) {
  const std::string &Address = Entries[Index].OpsAddress;
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
