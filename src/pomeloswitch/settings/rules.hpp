//! The operators' rules: which requests go to which service, and how.
#ifndef POMELOSWITCH_SETTINGS_RULES_HPP
#define POMELOSWITCH_SETTINGS_RULES_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

struct inventory;

enum class route_access {
  Account, //!< A client account's key is needed.
  Open,    //!< Open to all; no key is asked for.
};

//! Where a request carries the key that divides its service.
struct key_source {
  enum class place { None, PathSegment, Header, Query };
  place From = place::None;
  std::uint32_t Segment = 0; //!< Index of the path segment, from 0.
  std::string Name;          //!< Header field or query parameter.
};

struct route {
  std::string Name;
  std::string PathPrefix;
  std::vector<std::string> Methods; //!< Empty for all.
  std::string Service;
  route_access Access = route_access::Account;
  key_source Key;
  bool Idempotent = false;
  std::uint32_t DeadlineMs = 2000;
  std::uint64_t MaxBodyBytes = std::uint64_t{1} << 30;
};

struct rules {
  std::vector<route> Routes; //!< The first match wins.
  //! How long a host without the control group's word may go on serving
  //! routes open to all, ms.
  std::uint32_t OpenIsolationMs = 30000;
};

//! \throws pomelo_error InvalidChange naming the field.
rules parseRules(std::string_view Text);

//! Refuses rules that name a service which \p Inventory does not have, and
//! routes whose key source does not fit their service.
//! \throws pomelo_error InvalidChange naming the route.
void checkRulesAgainst(const rules &Rules, const inventory &Inventory);

} // namespace pomelo

#endif
