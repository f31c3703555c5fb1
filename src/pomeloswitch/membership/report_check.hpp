//! Which reports of targets count.
//!
//! Reports may come from writers that are no targets of this deployment. Such a
//! report must not end or displace a member.
#ifndef POMELOSWITCH_MEMBERSHIP_REPORT_CHECK_HPP
#define POMELOSWITCH_MEMBERSHIP_REPORT_CHECK_HPP

#include "pomeloswitch/state/cluster_state.hpp"

namespace pomelo {

//! Whether the configuration in force has the service of \p Announced. Only
//! then can it become a member.
[[nodiscard]] bool serviceInForce(const cluster_state &State,
                                  const target_member &Announced);

//! Whether a report may be recorded under its id. A report under the id of a
//! member counts if it agrees with that member, which keeps its service and
//! address while it runs, or tells of a later start for a service in force.
[[nodiscard]] bool mayRecordReport(const cluster_state &State,
                                   const target_member &Announced);

} // namespace pomelo

#endif
