//! Assignment of key slots to targets by the leader.
#ifndef POMELOSWITCH_OWNERSHIP_SLOT_PLANNER_HPP
#define POMELOSWITCH_OWNERSHIP_SLOT_PLANNER_HPP

#include "pomeloswitch/membership/lease_table.hpp"
#include "pomeloswitch/ownership/load_table.hpp"

#include <cstdint>
#include <vector>

namespace pomelo {

//! Limits on the slot moves that balance the targets of a service.
struct planner_limits {
  //! Maximum number of slots of one service that are being revoked at a time
  //! when balance moves are planned without known loads.
  std::uint32_t MovesInFlight = 16;
  //! Weight by which an owner may exceed its share, in average slot weights.
  double Tolerance = 1;
  //! Additional fraction of its share by which an owner may exceed it if loads
  //! are known.
  double LoadTolerance = 0.25;
  //! Fraction of its share up to which a receiver gets slots although no owner
  //! exceeds its own share: without any, it would stay idle and its speed
  //! unknown.
  double MinFill = 0.25;
  //! Replaces MovesInFlight if loads are known. The keys of a slot are not
  //! served while it moves.
  std::uint32_t LoadMovesInFlight = 6;
};

//! Plans grants, revocations and activations of slots. Stateless: each plan
//! depends only on the arguments of plan() and the limits.
class slot_planner {
public:
  explicit slot_planner(planner_limits Limits) : Limits(Limits) {}

  //! Returns the commands to propose now: for each service at most one that
  //! revokes slots and one that grants slots, and at most one per target that
  //! activates slots.
  [[nodiscard]] std::vector<wire::command> plan(const cluster_state &State,
                                                const lease_table &Leases,
                                                const load_table &Loads,
                                                mono_time Now) const;

private:
  planner_limits Limits;
};

} // namespace pomelo

#endif
