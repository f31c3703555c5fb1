//! Matches requests to the configured routes.
#ifndef POMELOSWITCH_ROUTING_ROUTE_TABLE_HPP
#define POMELOSWITCH_ROUTING_ROUTE_TABLE_HPP

#include "pomeloswitch/settings/rules.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! The request attributes that routing uses.
struct request_attributes {
  std::string_view Method;
  std::string_view Target; //!< Path and query, undecoded.
  std::string_view Host;   //!< Value of the Host field.
  //! Returns the value of a header field, or an empty view if it is absent.
  std::function<std::string_view(std::string_view Name)> Header;
};

//! Returns the first route of \p Rules that matches the request, or null.
const route *findRoute(const rules &Rules, const request_attributes &Request);

//! Extracts the key from the part of the request named by \p Source. Path
//! segments and query parameters are percent-decoded. Returns nothing if the
//! key is absent or empty.
std::optional<std::string> extractKey(const key_source &Source,
                                      const request_attributes &Request);

} // namespace pomelo

#endif
