//! The leader's decisions on who is a member.
#ifndef POMELOSWITCH_MEMBERSHIP_MEMBER_PLANNER_HPP
#define POMELOSWITCH_MEMBERSHIP_MEMBER_PLANNER_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <vector>

namespace pomelo {

//! Commands that bring the membership in \p State in line with what \p Leases
//! has heard: joins, new incarnations, leaving targets and expired members.
std::vector<wire::command> planMembership(const cluster_state &State,
                                          const lease_table &Leases,
                                          mono_time Now);

} // namespace pomelo

#endif
