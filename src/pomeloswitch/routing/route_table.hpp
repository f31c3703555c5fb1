//! Matching requests to the operators' routes.
#ifndef POMELOSWITCH_ROUTING_ROUTE_TABLE_HPP
#define POMELOSWITCH_ROUTING_ROUTE_TABLE_HPP

#include "pomeloswitch/settings/rules.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! What routing looks at in a request.
struct request_facts {
  std::string_view Method;
  std::string_view Target; //!< Path and query as sent.
  std::string_view Host;   //!< As in the Host field.
  //! The value of a header field, empty if absent.
  std::function<std::string_view(std::string_view Name)> Header;
};

//! The first route of \p Rules that covers the request, or null.
const route *findRoute(const rules &Rules, const request_facts &Request);

//! The key that the request carries for \p Source, without its
//! percent-encoding; absent or empty if it carries none.
std::optional<std::string> extractKey(const key_source &Source,
                                      const request_facts &Request);

} // namespace pomelo

#endif
