//! Checks whether a target's process has terminated.
#ifndef POMELOSWITCH_HTTP_CRASH_CHECK_HPP
#define POMELOSWITCH_HTTP_CRASH_CHECK_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pomelo {

//! Whether \p Address refuses connections. A timeout does not count as a
//! refusal.
boost::asio::awaitable<bool>
refusesConnections(boost::asio::ip::tcp::endpoint Address);

} // namespace pomelo

#endif
