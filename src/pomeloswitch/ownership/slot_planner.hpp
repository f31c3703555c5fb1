//! The leader's decisions on which target owns which slot.
#ifndef POMELOSWITCH_OWNERSHIP_SLOT_PLANNER_HPP
#define POMELOSWITCH_OWNERSHIP_SLOT_PLANNER_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <cstdint>
#include <vector>

namespace pomelo {

struct planner_limits {
  //! Planned moves of one service that may be under way at a time.
  std::uint32_t MovesInFlight = 16;
  //! Slots by which the owners of a service may differ from their even share.
  std::uint32_t Tolerance = 1;
};

//! Plans grants and revocations. It holds no state of its own: whatever it
//! decides follows from the replicated state and the lease table.
class slot_planner {
public:
  explicit slot_planner(planner_limits Limits) : Limits(Limits) {}

  //! The commands to propose now; at most one of each kind a service.
  [[nodiscard]] std::vector<wire::command> plan(const cluster_state &State,
                                                const lease_table &Leases,
                                                mono_time Now) const;

private:
  planner_limits Limits;
};

} // namespace pomelo

#endif
