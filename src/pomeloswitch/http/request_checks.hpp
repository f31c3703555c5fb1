//! Refusing requests that two parties could read differently.
#ifndef POMELOSWITCH_HTTP_REQUEST_CHECKS_HPP
#define POMELOSWITCH_HTTP_REQUEST_CHECKS_HPP

#include <boost/beast/http/message.hpp>

namespace pomelo {

//! Refuses a header whose body length, host or path is ambiguous: a transfer
//! coding other than "chunked", none or several Host fields, a target that is
//! no absolute path, or dot segments in it, also percent-encoded.
//! \throws pomelo_error BadRequest.
void checkRequestHeader(const boost::beast::http::request_header<> &Header);

} // namespace pomelo

#endif
