#include "pomeloswitch/http/crash_check.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>

namespace pomelo {
namespace {

constexpr auto ConnectPatience = std::chrono::milliseconds(200);
//! A process that ends closes its sockets one by one; the listening one may
//! outlive the connection that broke, and ends what it has accepted.
constexpr auto AcceptedPatience = std::chrono::milliseconds(100);

enum class finding { Refused, EndedAtOnce, Open };

boost::asio::awaitable<finding> lookAt(boost::asio::ip::tcp::endpoint Address) {
  const auto Executor = co_await boost::asio::this_coro::executor;
  boost::beast::tcp_stream Stream(Executor);
  Stream.expires_after(ConnectPatience);
  boost::system::error_code Error;
  co_await Stream.async_connect(
      Address, boost::asio::redirect_error(boost::asio::use_awaitable, Error));
  if (Error == boost::asio::error::connection_refused)
    co_return finding::Refused;
  if (Error == boost::beast::error::timeout)
    co_return finding::Open;
  Stream.expires_after(AcceptedPatience);
  char Byte = 0;
  if (!Error)
    co_await Stream.async_read_some(
        boost::asio::buffer(&Byte, 1),
        boost::asio::redirect_error(boost::asio::use_awaitable, Error));
  const bool Ended = Error && Error != boost::beast::error::timeout;
  co_return Ended ? finding::EndedAtOnce : finding::Open;
}

} // namespace

boost::asio::awaitable<bool>
refusesConnections(boost::asio::ip::tcp::endpoint Address) {
  const finding First = co_await lookAt(Address);
  if (First != finding::EndedAtOnce)
    co_return First == finding::Refused;
  const finding Second = co_await lookAt(Address);
  co_return Second == finding::Refused;
}

} // namespace pomelo
