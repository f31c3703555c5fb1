//! Where a change of the configuration is in force.
#ifndef POMELOSWITCH_MEMBERSHIP_IN_FORCE_HPP
#define POMELOSWITCH_MEMBERSHIP_IN_FORCE_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelo {

//! What an entry host without a lease may go on doing that the change touches.
enum class isolated_service {
  None,       //!< Nothing; the change counts once the lease has run out.
  OpenRoutes, //!< Routes open to all, for the isolation time of the rules.
};

//! The entry hosts that may still act by a state before \p Index. A change is
//! in force everywhere once there are none.
std::vector<std::string> hostsBehind(const cluster_state &State,
                                     const lease_table &Leases,
                                     std::uint64_t Index,
                                     isolated_service Isolated, mono_time Now);

} // namespace pomelo

#endif
