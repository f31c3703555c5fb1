//! Waits for the link, for pieces of bodies.
#ifndef POMELOSWITCH_HTTP_LINK_TURN_HPP
#define POMELOSWITCH_HTTP_LINK_TURN_HPP

#include "pomeloswitch/sending/link_pacer.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>

namespace pomelo {

//! Takes \p Link for a piece of \p Bytes and waits until it may be sent.
boost::asio::awaitable<void> awaitLink(link_pacer &Link, std::size_t Bytes);

} // namespace pomelo

#endif
