//! Rate limiting of requests by client account.
#ifndef POMELOSWITCH_HTTP_ACCOUNT_ADMISSION_HPP
#define POMELOSWITCH_HTTP_ACCOUNT_ADMISSION_HPP

#include "pomeloswitch/http/traffic_context.hpp"

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace pomelo {

//! Returns once the rate limit of \p Account admits a request. If this host has
//! no tokens left for the account, waits briefly for its quota grant or for
//! more tokens, at most until \p Deadline.
//! \throws pomelo_error RateExceeded with the time after which to retry,
//! NotAuthoritative if this host has no grant for the account's rate.
boost::asio::awaitable<void> awaitAccountAdmission(traffic_context &Context,
                                                   std::string_view Account,
                                                   steady_time Deadline);

} // namespace pomelo

#endif
