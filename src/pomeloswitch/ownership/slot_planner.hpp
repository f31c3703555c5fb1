//! The leader's decisions on which target owns which slot.
#ifndef POMELOSWITCH_OWNERSHIP_SLOT_PLANNER_HPP
#define POMELOSWITCH_OWNERSHIP_SLOT_PLANNER_HPP

#include "pomeloswitch/membership/lease_table.hpp"
#include "pomeloswitch/ownership/load_table.hpp"

#include <cstdint>
#include <vector>

namespace pomelo {

struct planner_limits {
  //! Planned moves of one service that may be under way at a time.
  std::uint32_t MovesInFlight = 16;
  //! Average slots by which the owners of a service may exceed their share.
  double Tolerance = 1;
  //! Part of its share by which an owner may exceed it once loads are known.
  double LoadTolerance = 0.25;
  //! Moves for the sake of known loads that may be under way at a time; the
  //! keys of a slot are not served while it moves.
  std::uint32_t LoadMovesInFlight = 6;
};

//! Plans grants and revocations. It holds no state of its own: whatever it
//! decides follows from the replicated state and the lease table.
class slot_planner {
public:
  explicit slot_planner(planner_limits Limits) : Limits(Limits) {}

  //! The commands to propose now; at most one of each kind a service.
  [[nodiscard]] std::vector<wire::command> plan(const cluster_state &State,
                                                const lease_table &Leases,
                                                const load_table &Loads,
                                                mono_time Now) const;

private:
  planner_limits Limits;
};

} // namespace pomelo

#endif
