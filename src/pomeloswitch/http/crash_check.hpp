//! Whether a target's process is gone.
#ifndef POMELOSWITCH_HTTP_CRASH_CHECK_HPP
#define POMELOSWITCH_HTTP_CRASH_CHECK_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pomelo {

//! Whether \p Address refuses connections. Silence is no refusal.
boost::asio::awaitable<bool>
refusesConnections(boost::asio::ip::tcp::endpoint Address);

} // namespace pomelo

#endif
