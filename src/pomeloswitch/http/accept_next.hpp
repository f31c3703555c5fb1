//! Taking connections from a listening socket.
#ifndef POMELOSWITCH_HTTP_ACCEPT_NEXT_HPP
#define POMELOSWITCH_HTTP_ACCEPT_NEXT_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace pomelo {

//! The next connection, or nothing if none could be taken; a pause has then
//! passed unless \p Acceptor was closed.
boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>>
acceptNext(boost::asio::ip::tcp::acceptor &Acceptor);

} // namespace pomelo

#endif
