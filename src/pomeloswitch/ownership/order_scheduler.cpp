#include "pomeloswitch/ownership/order_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace pomelo {
namespace {

//! Grants of a service that are made at once, however short ago the last were.
constexpr std::size_t MinGrantsAtOnce = 8;
//! Rate of grants, as a multiple of the rate at which renewals become due.
constexpr double RenewalHeadroom = 2;

bool isOwned(const slot_ownership &Slot) {
  return Slot.Phase == slot_phase::Granted || Slot.Phase == slot_phase::Active;
}

//! Returns the member ordered by calls that may serve the slot, or null. That
//! is the owner or, once the slot is revoked, a later process with the owner's
//! id: calls to the owner may have reached it before it reported.
const target_member *calledOwner(const cluster_state &State,
                                 const slot_ownership &Slot) {
  if (Slot.Phase == slot_phase::Unowned)
    return nullptr;
  const auto Found = State.targets().find(Slot.Owner);
  if (Found == State.targets().end() || !Found->second.OrderedByCall)
    return nullptr;
  const bool SameProcess = Found->second.Incarnation == Slot.OwnerIncarnation;
  return SameProcess || Slot.Phase == slot_phase::Revoking ? &Found->second
                                                           : nullptr;
}

//! Whether the slot is being revoked from an owner that is no longer a member.
bool hasFormerOwner(const cluster_state &State, const slot_ownership &Slot) {
  return Slot.Phase == slot_phase::Revoking && Slot.OwnerChecksFence &&
         !State.targets().contains(Slot.Owner);
}

} // namespace

//! Returns when a grant whose call ended at \p CallEnd has certainly expired.
mono_time order_scheduler::latestGrantEnd(mono_time CallEnd) const {
  const double Factor = 1.0 + Times.MaxClockDrift;
  return CallEnd + Times.InTransit +
         milliseconds(static_cast<milliseconds::rep>(
             static_cast<double>(Times.GrantDuration.count()) * Factor));
}

void order_scheduler::startTerm(const cluster_state &State, mono_time Now) {
  GrantStates.clear();
  Targets.clear();
  Members = nullptr;
  Schedules.clear();
  GrantsTakenAt.clear();
  for (const std::string &Service : State.servicesWithSlots()) {
    const auto Table = State.sharedSlots(Service);
    auto &Slots = grantStatesOf(Service, Table->size());
    for (std::size_t Number = 0; Number < Table->size(); ++Number)
      if (calledOwner(State, (*Table)[Number]) ||
          hasFormerOwner(State, (*Table)[Number]))
        Slots[Number].UnansweredUntil = latestGrantEnd(Now + Times.CallTimeout);
  }
}

std::vector<order_scheduler::slot_grant_state> &
order_scheduler::grantStatesOf(const std::string &Service,
                               std::size_t SlotCount) {
  auto &Slots = GrantStates[Service];
  if (Slots.size() == SlotCount)
    return Slots;
  if (Slots.empty() || SlotCount % Slots.size() != 0) {
    Slots.resize(SlotCount);
    return Slots;
  }
  // The slots were divided: what was granted holds for each of the parts.
  const std::size_t Parts = SlotCount / Slots.size();
  std::vector<slot_grant_state> Divided;
  for (const slot_grant_state &Slot : Slots)
    Divided.insert(Divided.end(), Parts, Slot);
  Slots = std::move(Divided);
  return Slots;
}

//! Returns the run by the numbers that its slots have in a table of
//! \p SlotCount slots, or nothing if that is not a refinement of its own.
std::optional<order_scheduler::slot_run>
order_scheduler::renumbered(const slot_run &Run, std::size_t SlotCount) {
  if (Run.SlotCount == 0 || SlotCount % Run.SlotCount != 0)
    return std::nullopt;
  const auto Parts = static_cast<std::uint32_t>(SlotCount / Run.SlotCount);
  slot_run Changed = Run;
  Changed.First = Run.First * Parts;
  Changed.Last = (Run.Last + 1) * Parts - 1;
  Changed.SlotCount = static_cast<std::uint32_t>(SlotCount);
  return Changed;
}

order_scheduler::target_record &
order_scheduler::recordOf(const target_member &Member) {
  target_record &Record = Targets[Member.TargetId];
  if (Record.Incarnation != Member.Incarnation) {
    Record = target_record();
    Record.Incarnation = Member.Incarnation;
  }
  return Record;
}

//! A hand-over is passed on by the first grant after the release and by its
//! renewals. It is dropped for later grants, because later owners have newer
//! data.
void order_scheduler::assignHandover(slot_grant_state &Grants,
                                     const slot_ownership &Slot) {
  if (!isOwned(Slot))
    return;
  if (Grants.HandoverToken == 0)
    Grants.HandoverToken = Slot.Token;
  if (Grants.HandoverToken != Slot.Token)
    Grants.Handover.clear();
}

//! Returns runs of adjacent slots that share a call: slots with the same owner,
//! token and hand-over that are all to be granted or all to be released.
std::vector<order_scheduler::owned_slot_run>
order_scheduler::ownedRunsOf(const cluster_state &State,
                             const service &Service) {
  std::vector<owned_slot_run> Runs;
  const auto Table = State.sharedSlots(Service.Name);
  auto &Slots = grantStatesOf(Service.Name, Table->size());
  for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
    const slot_ownership &Slot = (*Table)[Number];
    if (!calledOwner(State, Slot))
      continue;
    assignHandover(Slots[Number], Slot);
    const order_kind Kind =
        isOwned(Slot) ? order_kind::Grant : order_kind::Release;
    const std::string &Handover = Slots[Number].Handover;
    if (!Runs.empty()) {
      owned_slot_run &Last = Runs.back();
      if (Last.Run.Last + 1 == Number && Last.Run.Token == Slot.Token &&
          Last.Run.Kind == Kind && Last.Owner == Slot.Owner &&
          Last.Handover == Handover) {
        Last.Run.Last = Number;
        continue;
      }
    }
    Runs.push_back({{Number, Number, Slot.Token, Kind,
                     static_cast<std::uint32_t>(Table->size())},
                    Slot.Owner,
                    Handover});
  }
  return Runs;
}

//! Whether a grant of a slot in the run is in flight. A release waits for such
//! grants, because a grant that arrives after the release would undo it.
bool order_scheduler::grantInFlight(const service &Service,
                                    const owned_slot_run &Owned) const {
  const auto &Slots = GrantStates.at(Service.Name);
  for (auto Number = Owned.Run.First; Number <= Owned.Run.Last; ++Number)
    if (Slots[Number].GrantsInFlight > 0)
      return true;
  return false;
}

bool order_scheduler::callDue(const call_record &Call, order_kind Kind,
                              mono_time Now) const {
  if (Call.InFlight)
    return false;
  if (Call.EndedAt == mono_time())
    return true;
  if (Call.Failed)
    return Now - Call.EndedAt >= Times.RetryAfter;
  return Kind == order_kind::Grant && Now - Call.EndedAt >= Times.RenewEvery;
}

std::vector<target_order> order_scheduler::dueOrders(const cluster_state &State,
                                                     const lease_table &Leases,
                                                     mono_time Now) {
  std::vector<target_order> Orders;
  followMembers(State);
  updateTargetRecords(Leases);
  for (const service &Service : State.sharedInventory()->Services)
    if (State.sharedSlots(Service.Name))
      addOrders(State, Service, Now, Orders);
  return Orders;
}

//! Drops the records of targets that are no longer members, and all schedules,
//! once the membership has changed.
void order_scheduler::followMembers(const cluster_state &State) {
  if (Members == State.sharedTargets())
    return;
  Members = State.sharedTargets();
  Schedules.clear();
  std::erase_if(Targets, [this](const auto &Entry) {
    return !Members->contains(Entry.first);
  });
}

order_scheduler::service_schedule &
order_scheduler::scheduleOf(const cluster_state &State,
                            const service &Service) {
  service_schedule &Schedule = Schedules[Service.Name];
  const auto Table = State.sharedSlots(Service.Name);
  if (Schedule.Table == Table)
    return Schedule;
  Schedule.Table = Table;
  Schedule.Runs.clear();
  for (owned_slot_run &Owned : ownedRunsOf(State, Service)) {
    const target_member &Member = Members->at(Owned.Owner);
    target_record &Record = recordOf(Member);
    call_record &Call = Record.Calls[{Service.Name, Owned.Run}];
    Schedule.Runs.push_back({std::move(Owned), &Member, &Record, &Call});
  }
  forgetOtherCalls(Service, Schedule.Runs);
  return Schedule;
}

//! Drops the ended calls for runs of the service that no longer exist.
void order_scheduler::forgetOtherCalls(const service &Service,
                                       const std::vector<scheduled_run> &Runs) {
  std::set<const call_record *> Scheduled;
  for (const scheduled_run &Each : Runs)
    Scheduled.insert(Each.Call);
  for (auto &[Id, Record] : Targets)
    std::erase_if(Record.Calls, [&](const auto &Entry) {
      return Entry.first.first == Service.Name && !Entry.second.InFlight &&
             !Scheduled.contains(&Entry.second);
    });
}

void order_scheduler::addOrders(const cluster_state &State,
                                const service &Service, mono_time Now,
                                std::vector<target_order> &Orders) {
  const service_schedule &Schedule = scheduleOf(State, Service);
  std::vector<const scheduled_run *> Grants;
  for (const scheduled_run &Each : Schedule.Runs) {
    const owned_slot_run &Owned = Each.Owned;
    if (!callDue(*Each.Call, Owned.Run.Kind, Now))
      continue;
    if (Owned.Run.Kind == order_kind::Grant) {
      if (!Each.Record->MaybeRestarted)
        Grants.push_back(&Each);
    } else if (!grantInFlight(Service, Owned)) {
      addOrder(Service, Schedule, Each, Now, Orders);
    }
  }
  takeGrants(Service, Schedule, std::move(Grants), Now, Orders);
}

//! Adds the grants that have been due the longest, at most as many as keep up
//! with all renewals.
void order_scheduler::takeGrants(const service &Service,
                                 const service_schedule &Schedule,
                                 std::vector<const scheduled_run *> Due,
                                 mono_time Now,
                                 std::vector<target_order> &Orders) {
  mono_time &TakenAt =
      GrantsTakenAt.try_emplace(Service.Name, Now).first->second;
  const std::chrono::duration<double> Elapsed =
      std::min<mono_time::duration>(Now - TakenAt, Times.RenewEvery);
  const std::chrono::duration<double> Cycle = Times.RenewEvery;
  TakenAt = Now;
  const auto Limit =
      MinGrantsAtOnce +
      static_cast<std::size_t>(RenewalHeadroom * Elapsed / Cycle *
                               static_cast<double>(Schedule.Runs.size()));
  if (Due.size() > Limit) {
    std::nth_element(Due.begin(),
                     Due.begin() + static_cast<std::ptrdiff_t>(Limit),
                     Due.end(), [](const auto *Left, const auto *Right) {
                       return Left->Call->EndedAt < Right->Call->EndedAt;
                     });
    Due.resize(Limit);
  }
  for (const scheduled_run *Each : Due)
    addOrder(Service, Schedule, *Each, Now, Orders);
}

void order_scheduler::addOrder(const service &Service,
                               const service_schedule &Schedule,
                               const scheduled_run &Scheduled, mono_time Now,
                               std::vector<target_order> &Orders) {
  const owned_slot_run &Owned = Scheduled.Owned;
  Scheduled.Call->InFlight = true;
  if (Scheduled.Record->LastSuccessAt == mono_time())
    Scheduled.Record->LastSuccessAt = Now;
  if (Owned.Run.Kind == order_kind::Grant)
    recordSent(Service.Name, Owned.Run);
  Orders.push_back({Owned.Run.Kind, Scheduled.Member->TargetId,
                    Scheduled.Member->Incarnation, Scheduled.Member->Address,
                    Service.Name, Owned.Run.First, Owned.Run.Last,
                    static_cast<std::uint32_t>(Schedule.Table->size()),
                    Service.KeySpace, Owned.Run.Token, Times.GrantDuration,
                    Owned.Handover});
}

void order_scheduler::recordSent(const std::string &Service,
                                 const slot_run &Run) {
  auto &Slots = GrantStates[Service];
  for (auto Number = Run.First; Number <= Run.Last; ++Number) {
    ++Slots[Number].GrantsInFlight;
    Slots[Number].SentToken = std::max(Slots[Number].SentToken, Run.Token);
  }
}

//! Two releases of a slot may be in flight if an adjacent slot was revoked
//! between them. If the answer to the second arrives after the slot was granted
//! to its next owner, it does not apply to that grant and is ignored.
void order_scheduler::recordReleased(slot_grant_state &Slot,
                                     std::uint64_t Token,
                                     const std::string &Handover) {
  if (Token < Slot.SentToken)
    return;
  Slot.AnsweredUntil = mono_time();
  Slot.Handover = Handover;
  Slot.HandoverToken = 0;
}

void order_scheduler::updateTargetRecords(const lease_table &Leases) {
  for (auto &[Id, Record] : Targets) {
    // An announcement after the latest failure shows that the target is
    // running.
    if (Record.RecentFailures > 0 &&
        Leases.targetHeardAt(Id) > Record.LastFailureAt)
      Record.RecentFailures = 0;
    if (Record.MaybeRestarted)
      Record.MaybeRestarted = std::any_of(
          Record.Calls.begin(), Record.Calls.end(), [](const auto &Call) {
            return Call.first.second.Kind == order_kind::Grant;
          });
  }
}

//! Records the result for the slots of the call. Returns whether it renewed a
//! known grant of all of them. If the service has other slots by now that are
//! no parts of those, the result does not apply to them.
bool order_scheduler::recordForSlots(const target_order &Order,
                                     const order_result &Result,
                                     mono_time Now) {
  const auto Found = GrantStates.find(Order.Service);
  if (Found == GrantStates.end())
    return false;
  const auto Run = renumbered({Order.FirstSlot, Order.LastSlot, Order.Token,
                               Order.Kind, Order.SlotCount},
                              Found->second.size());
  if (!Run)
    return false;
  const bool Done = Result.Outcome == order_outcome::Done;
  const bool Granting = Order.Kind == order_kind::Grant;
  bool Renewal = Granting && Done;
  for (auto Number = Run->First; Number <= Run->Last; ++Number) {
    slot_grant_state &Slot = Found->second[Number];
    Renewal = Renewal && Slot.ConfirmedToken >= Order.Token;
    if (Granting && Slot.GrantsInFlight > 0)
      --Slot.GrantsInFlight;
    if (Granting && Done) {
      Slot.AnsweredUntil = std::max(Slot.AnsweredUntil, latestGrantEnd(Now));
      Slot.ConfirmedToken = std::max(Slot.ConfirmedToken, Order.Token);
    } else if (Granting &&
               (Result.Outcome == order_outcome::NoAnswer ||
                Result.Outcome == order_outcome::ConnectionBroken)) {
      Slot.UnansweredUntil =
          std::max(Slot.UnansweredUntil, latestGrantEnd(Now));
    } else if (!Granting && Done) {
      recordReleased(Slot, Order.Token, Result.Handover);
    }
  }
  return Renewal;
}

//! A process that has ended serves no slot, and grants that it had not yet
//! carried out ended with it.
void order_scheduler::recordEnded(const target_record &Record,
                                  const std::string &Service) {
  auto &Slots = GrantStates[Service];
  for (const auto &[Key, Unused] : Record.Calls) {
    const auto Run = Key.first == Service ? renumbered(Key.second, Slots.size())
                                          : std::nullopt;
    if (!Run)
      continue;
    for (auto Number = Run->First; Number <= Run->Last; ++Number)
      if (Run->Token >= Slots[Number].SentToken)
        Slots[Number].AnsweredUntil = Slots[Number].UnansweredUntil =
            mono_time();
  }
}

bool order_scheduler::recordResult(const target_order &Order,
                                   const order_result &Result, mono_time Now) {
  const slot_run Run{Order.FirstSlot, Order.LastSlot, Order.Token, Order.Kind,
                     Order.SlotCount};
  const bool Done = Result.Outcome == order_outcome::Done;
  bool Renewal = recordForSlots(Order, Result, Now);
  const auto Found = Targets.find(Order.TargetId);
  const bool Current =
      Found != Targets.end() && Found->second.Incarnation == Order.Incarnation;
  Renewal = Renewal && Current && Found->second.RecentFailures == 0;
  if (!Renewal)
    Schedules.erase(Order.Service);
  if (!Current)
    return true;
  target_record &Record = Found->second;
  const auto Call = Record.Calls.find({Order.Service, Run});
  if (Call != Record.Calls.end())
    Call->second = {false, !Done, Now};
  Record.RecentFailures = Done ? 0 : Record.RecentFailures + 1;
  (Done ? Record.LastSuccessAt : Record.LastFailureAt) = Now;
  Record.MaybeRestarted |= Result.Outcome == order_outcome::Refused ||
                           Result.Outcome == order_outcome::ConnectionBroken ||
                           Result.Outcome == order_outcome::Unreachable ||
                           Result.Outcome == order_outcome::ProcessEnded;
  if (Result.Outcome == order_outcome::ProcessEnded)
    recordEnded(Record, Order.Service);
  return !Renewal;
}

//! Returns until when the grants sent so far may let a target serve the slot.
mono_time order_scheduler::mayServeUntil(const slot_grant_state &Slot,
                                         mono_time Now) const {
  if (Slot.GrantsInFlight > 0)
    return std::max(Slot.UnansweredUntil,
                    latestGrantEnd(Now + Times.CallTimeout));
  return std::max(Slot.UnansweredUntil, Slot.AnsweredUntil);
}

void order_scheduler::addSlotStatus(const std::string &Service,
                                    std::uint32_t Number,
                                    const slot_ownership &Slot,
                                    const slot_grant_state &Grants,
                                    mono_time Now,
                                    called_target_status &Status) const {
  const mono_time Until = mayServeUntil(Grants, Now);
  Status.HeldUntil = std::max(Status.HeldUntil, Until);
  if (Slot.Phase == slot_phase::Granted && Grants.ConfirmedToken != Slot.Token)
    Status.TakenIndex = std::min(Status.TakenIndex, Slot.ChangedIndex - 1);
  if (Slot.Phase == slot_phase::Revoking && Now <= Until)
    Status.UnreleasedSlots[Service].insert(Number);
}

//! A target keeps its slots unless its process may have been replaced or its
//! calls have failed for UnresponsiveTimeout.
void order_scheduler::addTargetStatus(const std::string &TargetId,
                                      bool HasSlots, mono_time Now,
                                      called_target_status &Status) const {
  const auto Found = Targets.find(TargetId);
  if (Found == Targets.end() || Found->second.Incarnation != Status.Incarnation)
    return;
  const target_record &Record = Found->second;
  const bool Unresponsive =
      HasSlots && Record.RecentFailures > 0 &&
      Now - Record.LastSuccessAt > Times.UnresponsiveTimeout;
  Status.KeepsSlots = !Record.MaybeRestarted && !Unresponsive;
  Status.Responding = Record.RecentFailures == 0;
}

void order_scheduler::updateLeases(const cluster_state &State,
                                   lease_table &Leases, mono_time Now) const {
  std::map<std::string, called_target_status> Statuses;
  std::set<std::string> Owners;
  former_holdings Former;
  for (const auto &[Id, Member] : State.targets())
    if (Member.OrderedByCall) {
      called_target_status &Status = Statuses[Id];
      Status.Incarnation = Member.Incarnation;
      Status.StateIndex = State.index();
      Status.TakenIndex = std::numeric_limits<std::uint64_t>::max();
    }
  for (const auto &[Name, Slots] : GrantStates) {
    const auto Table = State.sharedSlots(Name);
    if (!Table || Slots.empty() || Table->size() % Slots.size() != 0)
      continue;
    // The slots may have been divided since the latest orders.
    const std::size_t Parts = Table->size() / Slots.size();
    for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
      const slot_ownership &Slot = (*Table)[Number];
      const slot_grant_state &Grants = Slots[Number / Parts];
      if (hasFormerOwner(State, Slot) && Now <= mayServeUntil(Grants, Now)) {
        Former.Slots[Name].insert(Number);
        Former.Holders.insert(Slot.Owner);
      }
      if (!calledOwner(State, Slot))
        continue;
      addSlotStatus(Name, Number, Slot, Grants, Now, Statuses[Slot.Owner]);
      if (isOwned(Slot))
        Owners.insert(Slot.Owner);
    }
  }
  for (auto &[Id, Status] : Statuses) {
    addTargetStatus(Id, Owners.contains(Id), Now, Status);
    Leases.updateCalledTarget(Id, Status);
  }
  Leases.updateFormerMembers(std::move(Former));
}

} // namespace pomelo
