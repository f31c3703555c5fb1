#include "pomeloswitch/http/accept_next.hpp"

#include "pomeloswitch/observe/log.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

namespace pomelo {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

//! Delay after a failed accept, e.g. when the process has no free file
//! descriptors.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(20);

const component_logger &log() {
  static const component_logger Log("http");
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
    log().warn("Failed to accept a connection: {}.", Error.message());
    asio::steady_timer Pause(Acceptor.get_executor(), AcceptRetryDelay);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  co_return std::nullopt;
}

void closeAfterWaiting(tcp::acceptor &Acceptor,
                       const std::function<void(tcp::socket)> &Admit) {
  boost::system::error_code Error;
  Acceptor.non_blocking(true, Error);
  // A connection that its caller has given up is no reason to leave the others.
  while (!Error || Error == asio::error::connection_aborted) {
    tcp::socket Socket(Acceptor.get_executor());
    Acceptor.accept(Socket, Error);
    if (!Error)
      Admit(std::move(Socket));
  }
  if (Error != asio::error::would_block && Error != asio::error::try_again)
    log().warn("Closing the listener with connections in its queue: {}.",
               Error.message());
  Acceptor.close(Error);
}

} // namespace pomelo
