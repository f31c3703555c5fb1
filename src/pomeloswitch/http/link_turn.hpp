//! Waits for the link, for pieces of bodies.
#ifndef POMELOSWITCH_HTTP_LINK_TURN_HPP
#define POMELOSWITCH_HTTP_LINK_TURN_HPP

#include "pomeloswitch/sending/link_pacer.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>

namespace pomelo {

//! Takes \p Link for a piece of \p Bytes and waits until it may be sent.
//! Returns false, without taking the link, if that would be after \p Deadline.
boost::asio::awaitable<bool>
awaitLink(link_pacer &Link, std::size_t Bytes,
          std::chrono::steady_clock::time_point Deadline);

} // namespace pomelo

#endif
