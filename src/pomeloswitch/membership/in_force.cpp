#include "pomeloswitch/membership/in_force.hpp"

namespace pomelo {

std::vector<std::string> hostsBehind(const cluster_state &State,
                                     const lease_table &Leases,
                                     std::uint64_t Index,
                                     isolated_routing Isolated, mono_time Now) {
  const milliseconds IsolationTime(Isolated == isolated_routing::OpenRoutes
                                       ? State.longestIsolationMs()
                                       : 0);
  const lease_times &Times = Leases.times();
  const milliseconds MaxAnswerDelay =
      Times.withDrift(Times.HostLease + IsolationTime);
  std::vector<std::string> Behind;
  for (const auto &[Id, Member] : State.entryHosts()) {
    const host_status *Host = Leases.findHost(Id);
    const bool Applied = Host &&
                         Host->Announced.Incarnation == Member.Incarnation &&
                         Host->AppliedIndex >= Index;
    const bool Expired = Now - Leases.hostHeardAt(Id) > MaxAnswerDelay;
    const bool PredecessorsExpired =
        !Member.Replaced || Leases.predecessorExpired(Id, IsolationTime, Now);
    if (!PredecessorsExpired || !(Applied || Expired))
      Behind.push_back(Id);
  }
  return Behind;
}

} // namespace pomelo
