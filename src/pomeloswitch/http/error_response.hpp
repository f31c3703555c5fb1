//! The HTTP answer of each error kind.
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

//! A JSON answer with the status, run state and retry advice of \p Kind.
//! Where a retry needs a delay, \p RetryAfter is given in whole seconds, and
//! one second if it is not known.
text_response makeErrorResponse(error_kind Kind, std::string_view Message,
                                unsigned HttpVersion,
                                std::chrono::milliseconds RetryAfter = {});

text_response makeJsonResponse(std::string_view Body, unsigned HttpVersion);

} // namespace pomelo

#endif
