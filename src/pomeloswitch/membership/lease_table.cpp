#include "pomeloswitch/membership/lease_table.hpp"

#include <algorithm>

namespace pomelo {

void lease_table::startTerm(const cluster_state &State, mono_time Now) {
  TermStartedAt = Now;
  Hosts.clear();
  Targets.clear();
  for (const auto &[Id, Member] : State.entryHosts()) {
    Hosts[Id] = {Member, 0, 0, false, Now, std::nullopt};
    if (Member.Replaced)
      Hosts[Id].PredecessorHeardAt = Now;
  }
  for (const auto &[Id, Member] : State.targets())
    Targets[Id] = {Member, 0, 0, Now};
}

bool lease_table::hostHeard(host_status Status, std::uint64_t CommitIndex) {
  Status.AppliedIndex = std::min(Status.AppliedIndex, CommitIndex);
  Status.QuiescedIndex = std::min(Status.QuiescedIndex, Status.AppliedIndex);
  const host_status *Earlier = findHost(Status.Announced.HostId);
  if (Earlier) {
    Status.PredecessorHeardAt = Earlier->PredecessorHeardAt;
    const auto Incarnation = Earlier->Announced.Incarnation;
    if (Incarnation > Status.Announced.Incarnation)
      return false;
    if (Incarnation < Status.Announced.Incarnation) {
      if (!hostExpired(Status.Announced.HostId, Status.HeardAt))
        return false;
      Status.PredecessorHeardAt = Earlier->HeardAt;
    }
  }
  Hosts[Status.Announced.HostId] = std::move(Status);
  return true;
}

bool lease_table::targetHeard(const target_status &Status,
                              std::uint64_t CommitIndex) {
  const target_status *Earlier = findTarget(Status.Announced.TargetId);
  if (Earlier) {
    const auto Incarnation = Earlier->Announced.Incarnation;
    if (Incarnation > Status.Announced.Incarnation)
      return false;
    if (Incarnation < Status.Announced.Incarnation &&
        !targetExpired(Status.Announced.TargetId, Status.HeardAt))
      return false;
  }
  target_status &Record = Targets[Status.Announced.TargetId];
  Record = Status;
  Record.TakenIndex = std::min(Status.TakenIndex, CommitIndex);
  Record.SettledIndex = std::min(Status.SettledIndex, Record.TakenIndex);
  return true;
}

mono_time lease_table::hostHeardAt(std::string_view HostId) const {
  const host_status *Host = findHost(HostId);
  return Host ? Host->HeardAt : TermStartedAt;
}

mono_time lease_table::targetHeardAt(std::string_view TargetId) const {
  const target_status *Target = findTarget(TargetId);
  return Target ? Target->HeardAt : TermStartedAt;
}

bool lease_table::hostExpired(std::string_view HostId, mono_time Now) const {
  return Now - hostHeardAt(HostId) > Times.surely(Times.HostLease);
}

bool lease_table::targetExpired(std::string_view TargetId,
                                mono_time Now) const {
  return Now - targetHeardAt(TargetId) > Times.surely(Times.TargetLease);
}

bool lease_table::predecessorEnded(std::string_view HostId,
                                   milliseconds InFlight, mono_time Now) const {
  const host_status *Host = findHost(HostId);
  const auto Since = Host ? Host->PredecessorHeardAt : TermStartedAt;
  return !Since || Now - *Since > Times.surely(Times.HostLease + InFlight);
}

bool lease_table::quiesced(const cluster_state &State,
                           std::uint64_t RevokeIndex, milliseconds InFlight,
                           mono_time Now) const {
  const auto Bound = Times.surely(Times.HostLease + InFlight);
  const auto Quiesced = [&](const entry_member &Member) {
    if (!predecessorEnded(Member.HostId, InFlight, Now))
      return false;
    const host_status *Host = findHost(Member.HostId);
    if (Host && Host->Announced.Incarnation == Member.Incarnation &&
        Host->QuiescedIndex >= RevokeIndex)
      return true;
    return Now - hostHeardAt(Member.HostId) > Bound;
  };
  return std::all_of(State.entryHosts().begin(), State.entryHosts().end(),
                     [&](const auto &Entry) { return Quiesced(Entry.second); });
}

const host_status *lease_table::findHost(std::string_view HostId) const {
  const auto Found = Hosts.find(HostId);
  return Found == Hosts.end() ? nullptr : &Found->second;
}

const target_status *lease_table::findTarget(std::string_view TargetId) const {
  const auto Found = Targets.find(TargetId);
  return Found == Targets.end() ? nullptr : &Found->second;
}

void lease_table::forgetExpired(const cluster_state &State, mono_time Now) {
  std::erase_if(Hosts, [&](const auto &Entry) {
    return !State.entryHosts().contains(Entry.first) &&
           hostExpired(Entry.first, Now);
  });
  std::erase_if(Targets, [&](const auto &Entry) {
    return !State.targets().contains(Entry.first) &&
           targetExpired(Entry.first, Now);
  });
}

} // namespace pomelo
