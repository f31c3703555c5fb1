#include "pomeloswitch/membership/in_force.hpp"

namespace pomelo {

std::vector<std::string> hostsBehind(const cluster_state &State,
                                     const lease_table &Leases,
                                     std::uint64_t Index,
                                     isolated_service Isolated, mono_time Now) {
  const milliseconds Extra(Isolated == isolated_service::OpenRoutes
                               ? State.longestIsolationMs()
                               : 0);
  const lease_times &Times = Leases.times();
  const milliseconds Bound = Times.surely(Times.HostLease + Extra);
  std::vector<std::string> Behind;
  for (const auto &[Id, Member] : State.entryHosts()) {
    const host_status *Host = Leases.findHost(Id);
    const bool Applied = Host &&
                         Host->Announced.Incarnation == Member.Incarnation &&
                         Host->AppliedIndex >= Index;
    const bool Ended = Now - Leases.hostHeardAt(Id) > Bound;
    const bool EarlierEnded =
        !Member.Replaced || Leases.predecessorEnded(Id, Extra, Now);
    if (!EarlierEnded || !(Applied || Ended))
      Behind.push_back(Id);
  }
  return Behind;
}

} // namespace pomelo
