//! Determines whether a configuration change is in force on all entry hosts.
#ifndef POMELOSWITCH_MEMBERSHIP_IN_FORCE_HPP
#define POMELOSWITCH_MEMBERSHIP_IN_FORCE_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelo {

//! Routing affected by a change that an entry host may continue without a
//! lease.
enum class isolated_routing {
  None,       //!< No routing: the host must stop when its lease expires.
  OpenRoutes, //!< Routes open to all, for the isolation time of the rules.
};

//! Returns the ids of the entry hosts that may still act on a state before log
//! index \p Index. The change at \p Index is in force on all hosts once the
//! result is empty.
std::vector<std::string> hostsBehind(const cluster_state &State,
                                     const lease_table &Leases,
                                     std::uint64_t Index,
                                     isolated_routing Isolated, mono_time Now);

} // namespace pomelo

#endif
