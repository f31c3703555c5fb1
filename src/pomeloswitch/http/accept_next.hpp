//! Accepts connections on a listening socket.
#ifndef POMELOSWITCH_HTTP_ACCEPT_NEXT_HPP
#define POMELOSWITCH_HTTP_ACCEPT_NEXT_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>

namespace pomelo {

//! Accepts the next connection. Returns an empty optional if accepting failed;
//! unless \p Acceptor was closed, it then waits before returning, so that
//! callers can retry in a loop.
boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>>
acceptNext(boost::asio::ip::tcp::acceptor &Acceptor);

//! Closes \p Acceptor after passing \p Admit the connections that wait in its
//! queue, which its close would reset. Stops at the first that cannot be
//! accepted, e.g. without free file descriptors, and logs that.
void closeAfterWaiting(
    boost::asio::ip::tcp::acceptor &Acceptor,
    const std::function<void(boost::asio::ip::tcp::socket)> &Admit);

} // namespace pomelo

#endif
