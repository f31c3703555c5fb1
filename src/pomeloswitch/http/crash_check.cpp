#include "pomeloswitch/http/crash_check.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>

namespace pomelo {
namespace {

constexpr auto ConnectPatience = std::chrono::milliseconds(200);
//! A process that ends closes its sockets one by one; the listening one may
//! outlive the connection that broke.
constexpr auto SecondLook = std::chrono::milliseconds(10);

boost::asio::awaitable<boost::system::error_code>
tryConnect(boost::asio::ip::tcp::endpoint Address) {
  const auto Executor = co_await boost::asio::this_coro::executor;
  boost::beast::tcp_stream Stream(Executor);
  Stream.expires_after(ConnectPatience);
  boost::system::error_code Error;
  co_await Stream.async_connect(
      Address, boost::asio::redirect_error(boost::asio::use_awaitable, Error));
  co_return Error;
}

} // namespace

boost::asio::awaitable<bool>
refusesConnections(boost::asio::ip::tcp::endpoint Address) {
  const boost::system::error_code First = co_await tryConnect(Address);
  if (First)
    co_return First == boost::asio::error::connection_refused;
  const auto Executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer Timer(Executor, SecondLook);
  co_await Timer.async_wait(boost::asio::use_awaitable);
  const boost::system::error_code Second = co_await tryConnect(Address);
  co_return Second == boost::asio::error::connection_refused;
}

} // namespace pomelo
