//! Reading the bodies of administration calls.
#ifndef POMELOSWITCH_CONTROL_REQUEST_FIELDS_HPP
#define POMELOSWITCH_CONTROL_REQUEST_FIELDS_HPP

#include "pomeloswitch/http/simple_server.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace pomelo {

//! \throws pomelo_error BadRequest if the body is not a JSON object.
boost::json::object parseBody(const text_request &Request);

//! \throws pomelo_error BadRequest unless the field is a non-empty text.
std::string requiredText(const boost::json::object &Body,
                         std::string_view Name);

} // namespace pomelo

#endif
