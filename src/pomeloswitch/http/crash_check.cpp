#include "pomeloswitch/http/crash_check.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>

namespace pomelo {
namespace {

constexpr auto ProbeConnectTimeout = std::chrono::milliseconds(200);
//! A terminating process closes its sockets one by one. Its listening socket
//! may outlive the lost connection for a moment; connections that it accepts in
//! that time are closed immediately.
constexpr auto ProbeReadTimeout = std::chrono::milliseconds(100);

enum class probe_result { Refused, ClosedAfterAccept, Open };

boost::asio::awaitable<probe_result>
probe(boost::asio::ip::tcp::endpoint Address) {
  const auto Executor = co_await boost::asio::this_coro::executor;
  boost::beast::tcp_stream Stream(Executor);
  Stream.expires_after(ProbeConnectTimeout);
  boost::system::error_code Error;
  co_await Stream.async_connect(
      Address, boost::asio::redirect_error(boost::asio::use_awaitable, Error));
  if (Error == boost::asio::error::connection_refused)
    co_return probe_result::Refused;
  if (Error == boost::beast::error::timeout)
    co_return probe_result::Open;
  Stream.expires_after(ProbeReadTimeout);
  char Byte = 0;
  if (!Error)
    co_await Stream.async_read_some(
        boost::asio::buffer(&Byte, 1),
        boost::asio::redirect_error(boost::asio::use_awaitable, Error));
  const bool Ended = Error && Error != boost::beast::error::timeout;
  co_return Ended ? probe_result::ClosedAfterAccept : probe_result::Open;
}

} // namespace

boost::asio::awaitable<bool>
refusesConnections(boost::asio::ip::tcp::endpoint Address) {
  const probe_result First = co_await probe(Address);
  if (First != probe_result::ClosedAfterAccept)
    co_return First == probe_result::Refused;
  const probe_result Second = co_await probe(Address);
  co_return Second == probe_result::Refused;
}

} // namespace pomelo
