//! Starting of coroutines that nobody awaits.
#ifndef POMELOSWITCH_HTTP_SPAWN_HPP
#define POMELOSWITCH_HTTP_SPAWN_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace pomelo {

//! Runs \p Work on \p Executor. An error of its connection ends it without
//! notice; any other exception also ends only it, but is logged. \p What names
//! the work in that message and must stay valid, e.g. as a literal.
void spawn(const boost::asio::any_io_executor &Executor,
           boost::asio::awaitable<void> Work, std::string_view What);

} // namespace pomelo

#endif
