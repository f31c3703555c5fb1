//! The operators' rules: which requests go to which service, and how.
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
  Account, //!< A client account's key is needed.
  Open,    //!< Open to all; no key is asked for.
};

//! One of the services among which a route's requests are divided.
struct route_part {
  std::string Service;
  double Weight = 0;
};

struct route {
  std::string Name;
  std::string Host; //!< Without port, in lower case; empty for any.
  std::string PathPrefix;
  std::vector<std::string> Methods; //!< Empty for all.
  //! At least one; the weights need not add up to anything.
  std::vector<route_part> Parts;
  route_access Access = route_access::Account;
  key_source Key;
  bool Idempotent = false;
  std::uint32_t DeadlineMs = 2000;
  //! The answer is worth most within this time; 0 if not told.
  std::uint32_t AimMs = 0;
  std::uint32_t Priority = 0;   //!< 0 is the most urgent.
  std::uint32_t MaxTargets = 3; //!< Targets that one request may be sent to.
  std::uint64_t MaxBodyBytes = std::uint64_t{1} << 30;
};

//! What callers may send and how long they may take.
struct caller_bounds {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = std::uint64_t{1} << 30;
  std::uint32_t HeaderTimeoutMs = 10000; //!< For a whole header.
  std::uint32_t IdleTimeoutMs = 60000;   //!< Between two requests.
};

struct rules {
  std::vector<route> Routes; //!< The first match wins.
  caller_bounds Callers;
  //! How long a host without the control group's word may go on serving
  //! routes open to all, ms.
  std::uint32_t OpenIsolationMs = 30000;
};

//! \throws pomelo_error InvalidChange naming the field.
rules parseRules(std::string_view Text);

//! Refuses rules that name a service which \p Inventory does not have, and
//! routes whose key source does not fit their services.
//! \throws pomelo_error InvalidChange naming the route.
void checkRulesAgainst(const rules &Rules, const inventory &Inventory);

} // namespace pomelo

#endif
