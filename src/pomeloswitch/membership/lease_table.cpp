#include "pomeloswitch/membership/lease_table.hpp"

#include <algorithm>

namespace pomelo {
namespace {

bool contains(const slots_by_service &Slots, std::string_view Service,
              std::uint32_t Slot) {
  const auto Found = Slots.find(Service);
  return Found != Slots.end() && Found->second.contains(Slot);
}

} // namespace

void lease_table::startTerm(const cluster_state &State, mono_time Now) {
  TermStartedAt = Now;
  Hosts.clear();
  Targets.clear();
  CalledTargets.clear();
  FormerMembers = {};
  for (const auto &[Id, Member] : State.entryHosts()) {
    Hosts[Id] = {Member, 0, 0, 0, false, Now, std::nullopt};
    if (Member.Replaced)
      Hosts[Id].PredecessorHeardAt = Now;
  }
  for (const auto &[Id, Member] : State.targets())
    Targets[Id] = {Member, 0, 0, Now};
}

void lease_table::extendAfterStall(mono_time Now) {
  TermStartedAt = Now;
  for (auto &[Id, Host] : Hosts)
    Host.HeardAt = Now;
  for (auto &[Id, Target] : Targets)
    Target.HeardAt = Now;
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
    // Grants made by calls end with the target's process, so its successor
    // need not wait.
    if (Incarnation < Status.Announced.Incarnation &&
        !Status.Announced.OrderedByCall &&
        !targetExpired(Status.Announced.TargetId, Status.HeardAt))
      return false;
  }
  const bool Continues =
      Earlier && Earlier->Announced.Incarnation == Status.Announced.Incarnation;
  if (Continues && Status.Sequence > 0 && Status.Sequence <= Earlier->Sequence)
    return false;
  const unsigned WarmBefore = Continues ? Earlier->WarmReports : 0;
  const std::uint64_t LastSequence = Continues ? Earlier->Sequence : 0;
  target_status &Record = Targets[Status.Announced.TargetId];
  Record = Status;
  Record.WarmReports = Status.Announced.Cold ? 0 : WarmBefore + 1;
  Record.Sequence = std::max(Status.Sequence, LastSequence);
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
  return Now - hostHeardAt(HostId) > Times.withDrift(Times.HostLease);
}

bool lease_table::targetExpired(std::string_view TargetId,
                                mono_time Now) const {
  const target_status *Target = findTarget(TargetId);
  const bool OrderedByCall = Target && Target->Announced.OrderedByCall;
  return Now - targetHeardAt(TargetId) >
         (OrderedByCall ? Times.CalledTargetTimeout
                        : Times.withDrift(Times.TargetLease));
}

void lease_table::updateCalledTarget(const std::string &TargetId,
                                     const called_target_status &Status) {
  CalledTargets[TargetId] = Status;
}

void lease_table::resetWarmReports(std::string_view FailureDomain) {
  for (auto &[Id, Target] : Targets)
    if (Target.Announced.FailureDomain == FailureDomain)
      Target.WarmReports = 0;
}

const called_target_status *
lease_table::findCalledTarget(const target_member &Target) const {
  const auto Found = CalledTargets.find(Target.TargetId);
  return Found == CalledTargets.end() ||
                 Found->second.Incarnation != Target.Incarnation
             ? nullptr
             : &Found->second;
}

bool lease_table::heldByFormerMember(std::string_view Service,
                                     std::uint32_t Slot) const {
  return contains(FormerMembers.Slots, Service, Slot);
}

bool lease_table::mayHoldSlots(const target_member &Target,
                               mono_time Now) const {
  const called_target_status *Status = findCalledTarget(Target);
  return Status && Now <= Status->HeldUntil;
}

bool lease_table::targetReleased(const target_member &Target,
                                 mono_time Now) const {
  if (!Target.OrderedByCall)
    return targetExpired(Target.TargetId, Now);
  const called_target_status *Status = findCalledTarget(Target);
  return Status && Now > Status->HeldUntil;
}

bool lease_table::mayKeepSlots(const target_member &Target,
                               mono_time Now) const {
  if (targetExpired(Target.TargetId, Now))
    return false;
  const called_target_status *Status =
      Target.OrderedByCall ? findCalledTarget(Target) : nullptr;
  return !Status || Status->KeepsSlots;
}

bool lease_table::mayReceiveSlots(const target_member &Target,
                                  mono_time Now) const {
  if (!Target.OrderedByCall)
    return true;
  const target_status *Heard = findTarget(Target.TargetId);
  if (Heard && Heard->Announced.Incarnation != Target.Incarnation)
    return false;
  const called_target_status *Status = findCalledTarget(Target);
  return (!Status || Status->Responding) &&
         Now - targetHeardAt(Target.TargetId) <= Times.CalledTargetMaxSilence;
}

std::uint64_t lease_table::takenIndex(const target_member &Target) const {
  if (Target.OrderedByCall) {
    const called_target_status *Status = findCalledTarget(Target);
    return Status ? Status->TakenIndex : 0;
  }
  const target_status *Status = findTarget(Target.TargetId);
  return Status && Status->Announced.Incarnation == Target.Incarnation
             ? Status->TakenIndex
             : 0;
}

bool lease_table::slotReleased(const target_member &Owner,
                               std::string_view Service, std::uint32_t Slot,
                               std::uint64_t RevokeIndex) const {
  if (!Owner.OrderedByCall) {
    const target_status *Status = findTarget(Owner.TargetId);
    return Status && Status->Announced.Incarnation == Owner.Incarnation &&
           Status->SettledIndex >= RevokeIndex;
  }
  const called_target_status *Status = findCalledTarget(Owner);
  if (!Status || Status->StateIndex < RevokeIndex)
    return false;
  return !contains(Status->UnreleasedSlots, Service, Slot);
}

bool lease_table::predecessorExpired(std::string_view HostId,
                                     milliseconds InFlight,
                                     mono_time Now) const {
  const host_status *Host = findHost(HostId);
  const auto Since = Host ? Host->PredecessorHeardAt : TermStartedAt;
  return !Since || Now - *Since > Times.withDrift(Times.HostLease + InFlight);
}

bool lease_table::quiesced(const cluster_state &State,
                           std::uint64_t RevokeIndex, milliseconds InFlight,
                           mono_time Now) const {
  const auto MaxAnswerDelay = Times.withDrift(Times.HostLease + InFlight);
  const auto Quiesced = [&](const entry_member &Member) {
    if (!predecessorExpired(Member.HostId, InFlight, Now))
      return false;
    const host_status *Host = findHost(Member.HostId);
    if (Host && Host->Announced.Incarnation == Member.Incarnation &&
        Host->QuiescedIndex >= RevokeIndex)
      return true;
    return Now - hostHeardAt(Member.HostId) > MaxAnswerDelay;
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

void lease_table::removeExpired(const cluster_state &State, mono_time Now) {
  std::erase_if(Hosts, [&](const auto &Entry) {
    return !State.entryHosts().contains(Entry.first) &&
           hostExpired(Entry.first, Now);
  });
  std::erase_if(Targets, [&](const auto &Entry) {
    return !State.targets().contains(Entry.first) &&
           targetExpired(Entry.first, Now);
  });
  std::erase_if(CalledTargets, [&](const auto &Entry) {
    return !State.targets().contains(Entry.first);
  });
}

} // namespace pomelo
