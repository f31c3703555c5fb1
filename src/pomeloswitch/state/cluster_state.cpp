#include "pomeloswitch/state/cluster_state.hpp"

#include "pomeloswitch/state/config_changes.hpp"
#include "pomeloswitch/state/key_slot.hpp"
#include "pomeloswitch/state/slot_refinement.hpp"
#include "pomeloswitch/state/target_codec.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace pomelo {
namespace {

using wire::command;

//! Number of results of operators' changes that are stored to answer resends.
constexpr std::size_t MaxOperations = 20000;

} // namespace

cluster_state::cluster_state()
    : Inventory(std::make_shared<inventory>()),
      Rules(std::make_shared<rules>()), Keys(std::make_shared<key_map>()),
      Targets(std::make_shared<target_map>()),
      Crashes(std::make_shared<crash_table>()) {}

apply_result cluster_state::apply(std::uint64_t AtIndex,
                                  const command &Command) {
  Index = AtIndex;
  TimeMs = std::max(TimeMs, static_cast<std::uint64_t>(Command.time_ms()));
  if (config_changes::isConfigChange(Command))
    return applyConfig(Command);
  applyMembership(Command);
  applyOwnership(Command);
  if (Command.has_advance_rollout())
    Rollouts.advance(Command.advance_rollout(), Index);
  applyCrash(Command);
  return applyClaim(Command);
}

bool cluster_state::isMember(std::string_view HostId,
                             std::uint64_t Incarnation) const {
  const auto Found = EntryHosts.find(HostId);
  return Found != EntryHosts.end() && Found->second.Incarnation == Incarnation;
}

apply_result cluster_state::applyClaim(const command &Command) {
  apply_result Result;
  Result.Version = ConfigVersion;
  switch (Command.body_case()) {
  case command::kClaimRun:
    Result.Claim =
        Claims.claim(Command.claim_run(), TimeMs,
                     [this](std::string_view HostId, std::uint64_t Number) {
                       return isMember(HostId, Number);
                     });
    break;
  case command::kFinishClaim:
    Claims.finish(Command.finish_claim());
    break;
  case command::kReleaseClaim:
    Claims.release(Command.release_claim(), TimeMs);
    break;
  default:
    break;
  }
  return Result;
}

void cluster_state::applyCrash(const command &Command) {
  const bool Reported = Command.has_report_crash();
  if (!Reported && !Command.has_clear_suspect())
    return;
  auto Changed = std::make_shared<crash_table>(*Crashes);
  if (Reported)
    Changed->report(Command.report_crash(), TimeMs);
  else
    Changed->clear(Command.clear_suspect().fingerprint());
  Crashes = std::move(Changed);
}

apply_result cluster_state::applyConfig(const command &Command) {
  if (const apply_result *Earlier = findOperation(Command.operation_id()))
    return *Earlier;
  apply_result Result;
  try {
    if (Command.has_base_version() && Command.base_version() != ConfigVersion)
      throw pomelo_error(
          error_kind::VersionConflict,
          fmt::format("the change is based on version {}, but version {} is in "
                      "force",
                      Command.base_version(), ConfigVersion));
    config_changes(*this).apply(Command);
    ++ConfigVersion;
  } catch (const pomelo_error &Refusal) {
    Result.Refusal = Refusal.kind();
    Result.Message = Refusal.what();
  }
  Result.Version = ConfigVersion;
  rememberOperation(Command.operation_id(), Result);
  return Result;
}

void cluster_state::applyMembership(const command &Command) {
  switch (Command.body_case()) {
  case command::kHostJoined:
    return joinHost(Command.host_joined());
  case command::kHostSettled: {
    const auto Found = EntryHosts.find(Command.host_settled().host_id());
    if (Found != EntryHosts.end() &&
        Found->second.Incarnation == Command.host_settled().incarnation())
      Found->second.Replaced = false;
    return;
  }
  case command::kHostLeft: {
    const auto Found = EntryHosts.find(Command.host_left().host_id());
    if (Found != EntryHosts.end() &&
        Found->second.Incarnation == Command.host_left().incarnation())
      EntryHosts.erase(Found);
    return;
  }
  case command::kTargetJoined:
    return joinTarget(Command.target_joined());
  case command::kTargetLeaving: {
    const auto &Leaving = Command.target_leaving();
    auto Changed = std::make_shared<target_map>(*Targets);
    const auto Found = Changed->find(Leaving.target_id());
    if (Found == Changed->end() ||
        Found->second.Incarnation != Leaving.incarnation())
      return;
    Found->second.Leaving = true;
    Targets = std::move(Changed);
    return;
  }
  case command::kTargetLeft: {
    const auto &Left = Command.target_left();
    auto Changed = std::make_shared<target_map>(*Targets);
    const auto Found = Changed->find(Left.target_id());
    if (Found == Changed->end() ||
        Found->second.Incarnation != Left.incarnation())
      return;
    removeTarget(*Changed, Left.target_id());
    Targets = std::move(Changed);
    return;
  }
  case command::kTargetCold:
    return setCold(Command.target_cold());
  default:
    return;
  }
}

void cluster_state::joinHost(const wire::host_joined &Joined) {
  const auto Found = EntryHosts.find(Joined.host_id());
  const bool Known = Found != EntryHosts.end();
  if (Known && Found->second.Incarnation >= Joined.incarnation())
    return;
  EntryHosts[Joined.host_id()] = {Joined.host_id(), Joined.incarnation(),
                                  Joined.failure_domain(), Known};
}

void cluster_state::joinTarget(const wire::target_joined &Joined) {
  auto Member = toMember(Joined);
  if (!mayJoin(Member))
    return;
  Member.JoinedMs = TimeMs;
  auto Changed = std::make_shared<target_map>(*Targets);
  std::vector<std::string> ReplacedIds;
  for (const auto &[Id, Other] : *Targets)
    if (Id == Member.TargetId || Other.Address == Member.Address)
      ReplacedIds.push_back(Id);
  for (const std::string &Id : ReplacedIds)
    removeTarget(*Changed, Id);
  (*Changed)[Member.TargetId] = std::move(Member);
  Targets = std::move(Changed);
}

void cluster_state::removeTarget(target_map &From,
                                 const std::string &TargetId) {
  const auto Found = From.find(TargetId);
  revokeSlotsOf(Found->second);
  From.erase(Found);
}

void cluster_state::setCold(const wire::target_cold &Change) {
  const auto Found = Targets->find(Change.target_id());
  if (Found == Targets->end() ||
      Found->second.Incarnation != Change.incarnation())
    return;
  auto Changed = std::make_shared<target_map>(*Targets);
  Changed->at(Change.target_id()).Cold = Change.cold();
  Targets = std::move(Changed);
}

void cluster_state::markDomainCold(std::string_view FailureDomain) {
  auto Changed = std::make_shared<target_map>(*Targets);
  for (auto &[Id, Target] : *Changed) {
    const service *Service = Inventory->findService(Target.Service);
    if (Target.FailureDomain == FailureDomain && Service &&
        Service->ColdRatePerSecond > 0)
      Target.Cold = true;
  }
  Targets = std::move(Changed);
}

bool cluster_state::mayJoin(const target_member &Announced) const {
  const auto Same = Targets->find(Announced.TargetId);
  if (Same != Targets->end() &&
      Same->second.Incarnation >= Announced.Incarnation)
    return false;
  std::size_t OfService = 0;
  for (const auto &[Id, Member] : *Targets) {
    if (Id == Announced.TargetId)
      continue;
    // Only one process can use an address: if one started later, the earlier
    // one has ended.
    const bool HasEnded =
        Member.StartedMs > 0 && Member.StartedMs < Announced.StartedMs;
    if (Member.Address == Announced.Address && !HasEnded)
      return false;
    OfService += Member.Service == Announced.Service ? 1 : 0;
  }
  return OfService < MaxTargetsPerService;
}

//! Revokes all slots of a target that has left or has joined as a new
//! incarnation. The old incarnation starts no new requests; revoking ensures
//! that its requests in flight end before the next grant.
void cluster_state::revokeSlotsOf(const target_member &Target) {
  const auto Found = Slots.find(Target.Service);
  if (Found == Slots.end())
    return;
  for (slot_ownership &Slot : mutableSlots(Target.Service)) {
    if (Slot.Owner != Target.TargetId || Slot.Phase == slot_phase::Revoking)
      continue;
    Slot.Phase = slot_phase::Revoking;
    Slot.ChangedIndex = Index;
  }
}

void cluster_state::applyOwnership(const command &Command) {
  switch (Command.body_case()) {
  case command::kRevokeSlots: {
    auto &Table = mutableSlots(Command.revoke_slots().service());
    for (const std::uint32_t Number : Command.revoke_slots().slots()) {
      if (Number >= Table.size())
        continue;
      slot_ownership &Slot = Table[Number];
      if (Slot.Phase != slot_phase::Granted && Slot.Phase != slot_phase::Active)
        continue;
      Slot.Phase = slot_phase::Revoking;
      Slot.ChangedIndex = Index;
    }
    return;
  }
  case command::kRefineSlots:
    return refineSlots(Command.refine_slots());
  case command::kGrantSlots:
    return grantSlots(Command.grant_slots());
  case command::kActivateSlots: {
    const auto &Activate = Command.activate_slots();
    for (slot_ownership &Slot : mutableSlots(Activate.service()))
      if (Slot.Owner == Activate.target_id() &&
          Slot.Phase == slot_phase::Granted &&
          Slot.ChangedIndex <= Activate.taken_index())
        Slot.Phase = slot_phase::Active;
    return;
  }
  default:
    return;
  }
}

//! All grants of one command have the same fencing token, so that adjacent
//! slots can be granted to their owner in one call. A grant applies only if the
//! slot has not changed since the planner read it: a handover that was safe
//! after one revocation may be unsafe after a later one.
void cluster_state::grantSlots(const wire::grant_slots &Grants) {
  auto &Table = mutableSlots(Grants.service());
  const std::uint64_t Token = NextToken++;
  for (const auto &Grant : Grants.grants()) {
    if (Grant.slot() >= Table.size())
      continue;
    slot_ownership &Slot = Table[Grant.slot()];
    const bool Free =
        Slot.Phase == slot_phase::Unowned || Slot.Phase == slot_phase::Revoking;
    if (!Free || Slot.ChangedIndex != Grant.since_index())
      continue;
    if (Grant.target_id().empty()) {
      Slot = {{}, Slot.Token, slot_phase::Unowned, Index};
      continue;
    }
    const auto Target = Targets->find(Grant.target_id());
    if (Target == Targets->end())
      continue;
    const bool Checks = Target->second.ChecksFence;
    Slot = {Grant.target_id(),
            Token,
            Checks ? slot_phase::Granted : slot_phase::Active,
            Index,
            Target->second.Incarnation,
            Checks};
  }
}

void cluster_state::refineSlots(const wire::refine_slots &Change) {
  const auto Found = Slots.find(Change.service());
  if (Found == Slots.end() || !mayRefine(*Found->second, Change.slot_count()))
    return;
  Found->second = std::make_shared<slot_table>(
      refined(*Found->second, Change.slot_count()));
}

void cluster_state::updateLongestTimeouts(const rules &Changed) {
  for (const route &Route : Changed.Routes)
    for (const route_destination &Part : Route.Destinations) {
      std::uint32_t &Longest = LongestDeadlines[Part.Service];
      Longest = std::max(Longest, Route.DeadlineMs);
    }
  LongestIsolationMs = std::max(LongestIsolationMs, Changed.OpenIsolationMs);
}

std::uint32_t cluster_state::longestDeadlineMs(std::string_view Service) const {
  const auto Found = LongestDeadlines.find(Service);
  return Found == LongestDeadlines.end() ? 0 : Found->second;
}

//! Creates the missing slot tables. Removes the table of a service that was
//! removed or resized only when no slot has an owner, because owners may still
//! serve their slots.
void cluster_state::reconcileSlotTables() {
  std::erase_if(Slots, [this](const auto &Entry) {
    const service *Service = Inventory->findService(Entry.first);
    const bool Fits =
        Service && isRefinementOf(Entry.second->size(), Service->KeySlots);
    return !Fits && std::all_of(Entry.second->begin(), Entry.second->end(),
                                [](const slot_ownership &Slot) {
                                  return Slot.Phase == slot_phase::Unowned;
                                });
  });
  for (const service &Service : Inventory->Services)
    if (Service.DividedByKey && !Slots.contains(Service.Name))
      Slots[Service.Name] = std::make_shared<slot_table>(Service.KeySlots);
}

slot_table &cluster_state::mutableSlots(const std::string &Service) {
  auto &Table = Slots[Service];
  if (!Table)
    Table = std::make_shared<slot_table>();
  else if (Table.use_count() > 1)
    Table = std::make_shared<slot_table>(*Table);
  return *Table;
}

std::shared_ptr<const slot_table>
cluster_state::sharedSlots(std::string_view Service) const {
  const auto Found = Slots.find(Service);
  return Found == Slots.end() ? nullptr : Found->second;
}

std::vector<std::string> cluster_state::servicesWithSlots() const {
  std::vector<std::string> Names;
  for (const auto &[Service, Table] : Slots)
    Names.push_back(Service);
  return Names;
}

std::uint32_t cluster_state::slotNumberOf(std::string_view Service,
                                          std::string_view Key) const {
  const auto Table = sharedSlots(Service);
  const service *Known = Inventory->findService(Service);
  if (!Table || !Known)
    throw pomelo_error(
        error_kind::NotFound,
        fmt::format("there is no service \"{}\" divided by key", Service));
  return slotOfKey(Key, static_cast<std::uint32_t>(Table->size()),
                   Known->KeySpace);
}

bool cluster_state::allowedByRollout(const target_member &Target) const {
  const rollout *Rollout = Rollouts.find(Target.Service);
  return !Rollout || Rollout->allows(Target.Version);
}

bool cluster_state::drainedByOperators(const target_member &Target) const {
  return DrainedDomains.contains(Target.FailureDomain) ||
         DrainedTargets.contains(Target.TargetId);
}

void cluster_state::rememberOperation(const std::string &OperationId,
                                      const apply_result &Result) {
  if (OperationId.empty())
    return;
  Operations[OperationId] = Result;
  OperationOrder.push_back(OperationId);
  if (OperationOrder.size() <= MaxOperations)
    return;
  Operations.erase(OperationOrder.front());
  OperationOrder.pop_front();
}

const apply_result *
cluster_state::findOperation(const std::string &OperationId) const {
  const auto Found = Operations.find(OperationId);
  return OperationId.empty() || Found == Operations.end() ? nullptr
                                                          : &Found->second;
}

} // namespace pomelo
