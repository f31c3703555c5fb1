//! Access to required members of JSON objects that are not validated against a
//! schema, such as the bodies of API requests.
#ifndef POMELOSWITCH_SETTINGS_JSON_FIELDS_HPP
#define POMELOSWITCH_SETTINGS_JSON_FIELDS_HPP

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelo {

//! \throws pomelo_error BadRequest if \p Text is not a JSON object.
boost::json::object parseObject(std::string_view Text);

// The functions below return the member \p Name of \p From.
// \throws pomelo_error BadRequest with the member's name if it is missing or of
//         another type.
const boost::json::object &objectIn(const boost::json::object &From,
                                    std::string_view Name);
std::string stringIn(const boost::json::object &From, std::string_view Name);
//! \throws pomelo_error BadRequest also if the string is empty.
std::string nonEmptyStringIn(const boost::json::object &From,
                             std::string_view Name);
double doubleIn(const boost::json::object &From, std::string_view Name);
std::uint64_t unsignedIn(const boost::json::object &From,
                         std::string_view Name);
//! The member is a number of seconds, with fractions; the result is rounded to
//! milliseconds.
//! \throws pomelo_error BadRequest also if it is negative or above 1e9 s.
std::chrono::milliseconds durationIn(const boost::json::object &From,
                                     std::string_view Name);

} // namespace pomelo

#endif
