//! Reading members of the JSON bodies of calls.
#ifndef POMELOSWITCH_SETTINGS_JSON_FIELDS_HPP
#define POMELOSWITCH_SETTINGS_JSON_FIELDS_HPP

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelo {

//! \throws pomelo_error BadRequest if \p Text is no JSON object.
boost::json::object parseObject(std::string_view Text);

// Each member must be there and of its type.
// \throws pomelo_error BadRequest naming the member.
const boost::json::object &objectIn(const boost::json::object &From,
                                    std::string_view Name);
std::string textIn(const boost::json::object &From, std::string_view Name);
//! Likewise, and not empty.
std::string filledTextIn(const boost::json::object &From,
                         std::string_view Name);
double realIn(const boost::json::object &From, std::string_view Name);
std::uint64_t wholeIn(const boost::json::object &From, std::string_view Name);
//! Of a time in seconds, with fractions.
std::chrono::milliseconds timeIn(const boost::json::object &From,
                                 std::string_view Name);

} // namespace pomelo

#endif
