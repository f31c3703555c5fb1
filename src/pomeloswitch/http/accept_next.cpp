#include "pomeloswitch/http/accept_next.hpp"

#include "pomeloswitch/observe/log.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace pomelo {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

//! Between two tries to accept, where there is no descriptor for a connection.
constexpr auto AcceptPause = std::chrono::milliseconds(20);

const part_log &log() {
  static const part_log Log("http");
  return Log;
}

} // namespace

asio::awaitable<std::optional<tcp::socket>>
acceptNext(tcp::acceptor &Acceptor) {
  boost::system::error_code Error;
  tcp::socket Socket = co_await Acceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, Error));
  if (!Error)
    co_return Socket;
  if (Acceptor.is_open()) {
    log().warn("A connection could not be accepted: {}.", Error.message());
    asio::steady_timer Pause(Acceptor.get_executor(), AcceptPause);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  co_return std::nullopt;
}

} // namespace pomelo
