#include "pomeloswitch/membership/lease_table.hpp"

#include <algorithm>

namespace pomelo {

void lease_table::startTerm(const cluster_state &State, mono_time Now) {
  Hosts.clear();
  Targets.clear();
  for (const auto &[Id, Member] : State.entryHosts())
    Hosts[Id] = {Member, 0, 0, false, Now, std::nullopt};
  for (const auto &[Id, Member] : State.targets())
    Targets[Id] = {Member, 0, 0, Now};
}

bool lease_table::hostHeard(host_status Status) {
  const host_status *Earlier = findHost(Status.Announced.HostId);
  if (Earlier) {
    Status.PredecessorHeardAt = Earlier->PredecessorHeardAt;
    if (Earlier->Announced.Incarnation != Status.Announced.Incarnation) {
      if (!hostExpired(Status.Announced.HostId, Status.HeardAt))
        return false;
      Status.PredecessorHeardAt = Earlier->HeardAt;
    }
  }
  Hosts[Status.Announced.HostId] = std::move(Status);
  return true;
}

void lease_table::targetHeard(const target_status &Status) {
  Targets[Status.Announced.TargetId] = Status;
}

bool lease_table::hostExpired(std::string_view HostId, mono_time Now) const {
  const host_status *Host = findHost(HostId);
  return !Host || Now - Host->HeardAt > Times.surely(Times.HostLease);
}

bool lease_table::targetExpired(std::string_view TargetId,
                                mono_time Now) const {
  const target_status *Target = findTarget(TargetId);
  return !Target || Now - Target->HeardAt > Times.surely(Times.TargetLease);
}

bool lease_table::quiesced(const cluster_state &State,
                           std::uint64_t RevokeIndex, milliseconds InFlight,
                           mono_time Now) const {
  const auto Bound = Times.surely(Times.HostLease + InFlight);
  return std::all_of(State.entryHosts().begin(), State.entryHosts().end(),
                     [&](const auto &Entry) {
                       const host_status *Host = findHost(Entry.first);
                       if (!Host)
                         return true;
                       if (Host->PredecessorHeardAt &&
                           Now - *Host->PredecessorHeardAt <= Bound)
                         return false;
                       if (Host->Announced.Incarnation ==
                               Entry.second.Incarnation &&
                           Host->QuiescedIndex >= RevokeIndex)
                         return true;
                       return Now - Host->HeardAt > Bound;
                     });
}

const host_status *lease_table::findHost(std::string_view HostId) const {
  const auto Found = Hosts.find(HostId);
  return Found == Hosts.end() ? nullptr : &Found->second;
}

const target_status *lease_table::findTarget(std::string_view TargetId) const {
  const auto Found = Targets.find(TargetId);
  return Found == Targets.end() ? nullptr : &Found->second;
}

void lease_table::forgetHost(std::string_view HostId) {
  const auto Found = Hosts.find(HostId);
  if (Found != Hosts.end())
    Hosts.erase(Found);
}

void lease_table::forgetTarget(std::string_view TargetId) {
  const auto Found = Targets.find(TargetId);
  if (Found != Targets.end())
    Targets.erase(Found);
}

} // namespace pomelo
