//! Common order of the targets of a service and of the entry hosts, by which
//! the hosts divide the targets among themselves.
#ifndef POMELOSWITCH_ROUTING_TARGET_RING_HPP
#define POMELOSWITCH_ROUTING_TARGET_RING_HPP

#include "pomeloswitch/routing/routing_view.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace pomelo {

//! Returns \p Targets in an order that is the same at every host. Failure
//! domains are interleaved, so that each stretch of the ring has targets of all
//! of them in proportion.
std::vector<routing_target_ptr>
makeTargetRing(std::span<const routing_target_ptr> Targets);

//! Returns where on a ring the host begins, in [0, 1). The hosts of the state
//! are spread evenly, in the order of a hash of their ids: hosts of one failure
//! domain, which often get more requests at the same time, are not neighbours.
//! Returns 0 for a host that is not a member.
double ringPosition(const entry_map &Hosts, std::string_view HostId);

} // namespace pomelo

#endif
