#include "pomeloswitch/membership/report_check.hpp"

namespace pomelo {

bool serviceInForce(const cluster_state &State,
                    const target_member &Announced) {
  return State.sharedInventory()->findService(Announced.Service) != nullptr;
}

bool mayRecordReport(const cluster_state &State,
                     const target_member &Announced) {
  const auto Found = State.targets().find(Announced.TargetId);
  if (Found == State.targets().end())
    return true;
  const target_member &Member = Found->second;
  if (Member.Incarnation != Announced.Incarnation)
    return serviceInForce(State, Announced);
  return Member.Service == Announced.Service &&
         Member.Address == Announced.Address;
}

} // namespace pomelo
