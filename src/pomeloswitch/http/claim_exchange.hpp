//! Coroutine interface to request claims by Idempotency-Key, and replay of
//! recorded responses.
#ifndef POMELOSWITCH_HTTP_CLAIM_EXCHANGE_HPP
#define POMELOSWITCH_HTTP_CLAIM_EXCHANGE_HPP

#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/retry/request_state_client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pomelo {

//! Response field that marks the replayed response to an earlier request with
//! the same Idempotency-Key.
inline constexpr std::string_view ReplayedField = "Pomelo-Replayed";

//! Submits the claim and resumes on \p Executor with the reply.
boost::asio::awaitable<claim_reply>
awaitClaim(request_state_client &Records, boost::asio::any_io_executor Executor,
           claim_request Request);

//! Reports a crash and waits until the report has taken effect or has been
//! abandoned.
boost::asio::awaitable<void>
awaitCrashReport(request_state_client &Records,
                 boost::asio::any_io_executor Executor, crash_report Report);

//! Builds the response from the recorded one of an earlier request.
//! \throws pomelo_error if no response was recorded; its kind tells what is
//! known about the earlier request.
text_response responseFromClaim(const claim_reply &Reply, unsigned HttpVersion);

} // namespace pomelo

#endif
