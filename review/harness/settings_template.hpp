//! Fills in a settings template as the platform's page DEPLOY says.
#ifndef POMELOSWITCH_REVIEW_HARNESS_SETTINGS_TEMPLATE_HPP
#define POMELOSWITCH_REVIEW_HARNESS_SETTINGS_TEMPLATE_HPP

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace pomelo::review {

//! \throws std::runtime_error if a section is not closed.
std::string fillTemplate(std::string_view Text,
                         const boost::json::value &Fields);

} // namespace pomelo::review

#endif
