#include "pomeloswitch/http/crash_check.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>

namespace pomelo {
namespace {

constexpr auto ConnectPatience = std::chrono::milliseconds(200);

} // namespace

boost::asio::awaitable<bool>
refusesConnections(boost::asio::ip::tcp::endpoint Address) {
  const auto Executor = co_await boost::asio::this_coro::executor;
  boost::beast::tcp_stream Stream(Executor);
  Stream.expires_after(ConnectPatience);
  boost::system::error_code Error;
  co_await Stream.async_connect(
      Address, boost::asio::redirect_error(boost::asio::use_awaitable, Error));
  co_return Error == boost::asio::error::connection_refused;
}

} // namespace pomelo
