//! Claims of a traffic thread's requests, and answers that others were given.
#ifndef POMELOSWITCH_HTTP_CLAIM_EXCHANGE_HPP
#define POMELOSWITCH_HTTP_CLAIM_EXCHANGE_HPP

#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/retry/request_state_client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pomelo {

//! Marks an answer that a target gave to an earlier sending of the request.
inline constexpr std::string_view ReplayedField = "Pomelo-Replayed";

//! Asks for the claim; resumes on \p Executor with the reply.
boost::asio::awaitable<claim_reply>
awaitClaim(request_state_client &Records, boost::asio::any_io_executor Executor,
           claim_request Request);

//! Reports a crash and waits until the report is in force or given up.
boost::asio::awaitable<void>
awaitCrashReport(request_state_client &Records,
                 boost::asio::any_io_executor Executor, crash_report Report);

//! The kept answer of an earlier sending.
//! \throws pomelo_error with what is known of that sending instead.
text_response answerFromClaim(const claim_reply &Reply, unsigned HttpVersion);

} // namespace pomelo

#endif
