//! The operators' rules: routes from requests to services, and limits on what
//! callers may send.
#ifndef POMELOSWITCH_SETTINGS_RULES_HPP
#define POMELOSWITCH_SETTINGS_RULES_HPP

#include "pomeloswitch/settings/key_source.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

struct inventory;

enum class route_access {
  Account, //!< Requires the key of a client account.
  Open,    //!< Open to all callers without a key.
};

//! A service that gets a share of a route's requests in proportion to Weight.
struct route_destination {
  std::string Service;
  double Weight = 0;
};

struct route {
  std::string Name;
  std::string Host; //!< Lower case, without port; empty for any.
  std::string PathPrefix;
  std::vector<std::string> Methods; //!< Empty for all.
  //! At least one. Weights are relative; their sum need not be 1.
  std::vector<route_destination> Destinations;
  route_access Access = route_access::Account;
  key_source Key;
  bool Idempotent = false;
  std::uint32_t DeadlineMs = 2000;
  //! Time within which callers want the response, ms; 0 if not set.
  std::uint32_t LatencyGoalMs = 0;
  std::uint32_t Priority = 0;   //!< 0 is the most urgent.
  std::uint32_t MaxTargets = 3; //!< Targets tried for one request.
  std::uint64_t MaxBodyBytes = std::uint64_t{1} << 30;
};

//! Limits on the size and the duration of what callers send.
struct caller_bounds {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = std::uint64_t{1} << 30;
  std::uint32_t HeaderTimeoutMs = 10000; //!< To receive a whole header.
  std::uint32_t IdleTimeoutMs = 60000;   //!< Between two requests.
};

struct rules {
  std::vector<route> Routes; //!< The first match wins.
  caller_bounds Callers;
  //! How long an entry host without contact to the control group may continue
  //! to serve open routes, ms.
  std::uint32_t OpenIsolationMs = 30000;
};

//! \throws pomelo_error InvalidChange if a field is missing or invalid; the
//!         message names the field.
rules parseRules(std::string_view Text);

//! Checks that \p Inventory has every service of the routes, that a route has a
//! key source only if its services are divided by key, and that each service
//! divided by key has a key source, its own or the route's.
//! \throws pomelo_error InvalidChange with the name of the first invalid route.
void checkRulesAgainst(const rules &Rules, const inventory &Inventory);

} // namespace pomelo

#endif
