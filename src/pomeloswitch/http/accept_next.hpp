//! Accepts connections on a listening socket.
#ifndef POMELOSWITCH_HTTP_ACCEPT_NEXT_HPP
#define POMELOSWITCH_HTTP_ACCEPT_NEXT_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace pomelo {

//! Accepts the next connection. Returns an empty optional if accepting failed;
//! unless \p Acceptor was closed, it then waits before returning, so that
//! callers can retry in a loop.
boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>>
acceptNext(boost::asio::ip::tcp::acceptor &Acceptor);

} // namespace pomelo

#endif
