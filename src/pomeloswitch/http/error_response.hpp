//! HTTP responses for error kinds.
#ifndef POMELOSWITCH_HTTP_ERROR_RESPONSE_HPP
#define POMELOSWITCH_HTTP_ERROR_RESPONSE_HPP

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <string_view>

namespace pomelo {

using text_response =
    boost::beast::http::response<boost::beast::http::string_body>;

inline constexpr std::string_view ErrorField = "Pomelo-Error";
inline constexpr std::string_view RunStateField = "Pomelo-Run-State";

//! Builds a JSON response with the status, run state and retry advice for an
//! error. If the advice is to retry after a delay, Retry-After is set to \p
//! RetryAfter rounded up to whole seconds, at least one second.
text_response makeErrorResponse(error_kind Kind, std::string_view Message,
                                unsigned HttpVersion,
                                std::chrono::milliseconds RetryAfter = {});

//! Builds a 200 response with \p Body and a final newline.
text_response makeJsonResponse(std::string_view Body, unsigned HttpVersion);

} // namespace pomelo

#endif
