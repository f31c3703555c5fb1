//! Rejects requests that two HTTP implementations could interpret differently.
#ifndef POMELOSWITCH_HTTP_REQUEST_CHECKS_HPP
#define POMELOSWITCH_HTTP_REQUEST_CHECKS_HPP

#include <boost/beast/http/message.hpp>

namespace pomelo {

//! Rejects a header whose body length, host or path is ambiguous: a transfer
//! coding other than "chunked", a number of Host fields other than one
//! (HTTP/1.1), or a request target that is not an absolute path or contains dot
//! segments, including percent-encoded ones.
//! \throws pomelo_error BadRequest.
void checkRequestHeader(const boost::beast::http::request_header<> &Header);

} // namespace pomelo

#endif
