//! Membership changes proposed by the leader.
#ifndef POMELOSWITCH_MEMBERSHIP_MEMBER_PLANNER_HPP
#define POMELOSWITCH_MEMBERSHIP_MEMBER_PLANNER_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <vector>

namespace pomelo {

//! Returns the commands that update the membership in \p State to match the
//! heartbeats and announcements recorded in \p Leases: joins, new incarnations,
//! leaving targets, cold and warm targets, settled hosts and expired members.
std::vector<wire::command> planMembership(const cluster_state &State,
                                          const lease_table &Leases,
                                          mono_time Now);

} // namespace pomelo

#endif
