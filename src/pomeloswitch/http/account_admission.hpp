//! Holding a request to its client account's rate.
#ifndef POMELOSWITCH_HTTP_ACCOUNT_ADMISSION_HPP
#define POMELOSWITCH_HTTP_ACCOUNT_ADMISSION_HPP

#include "pomeloswitch/http/traffic_context.hpp"

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace pomelo {

//! Returns once a request of \p Account may run. Where this host has nothing
//! left for it, waits a moment for its share or for more tokens.
//! \throws pomelo_error RateExceeded with the time to come back,
//!         NotAuthoritative if this host has no part of any rate.
boost::asio::awaitable<void> admitToAccount(traffic_context &Context,
                                            std::string_view Account,
                                            steady_time Deadline);

} // namespace pomelo

#endif
