#include "pomeloswitch/ownership/order_keeper.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace pomelo {
namespace {

bool held(const owned_slot &Slot) {
  return Slot.Phase == slot_phase::Granted || Slot.Phase == slot_phase::Active;
}

//! The member that owns the slot by calls, or null.
const target_member *calledOwner(const cluster_state &State,
                                 const owned_slot &Slot) {
  if (Slot.Phase == slot_phase::Unowned)
    return nullptr;
  const auto Found = State.targets().find(Slot.Owner);
  if (Found == State.targets().end() || !Found->second.OrderedByCall ||
      Found->second.Incarnation != Slot.OwnerIncarnation)
    return nullptr;
  return &Found->second;
}

} // namespace

mono_time order_keeper::surelyEnded(mono_time From) const {
  const double Factor = 1.0 + Times.MaxClockDrift;
  return From + Times.InTransit +
         milliseconds(static_cast<milliseconds::rep>(
             static_cast<double>(Times.Hold.count()) * Factor));
}

void order_keeper::startTerm(const cluster_state &State, mono_time Now) {
  Holds.clear();
  Targets.clear();
  for (const service &Service : State.inventoryPart()->Services) {
    const auto Table = State.slotsPart(Service.Name);
    if (!Table)
      continue;
    auto &Slots = holdsOf(Service.Name, Table->size());
    for (std::size_t Number = 0; Number < Table->size(); ++Number)
      if (calledOwner(State, (*Table)[Number]))
        Slots[Number].LateUntil = surelyEnded(Now);
  }
}

std::vector<order_keeper::slot_hold> &
order_keeper::holdsOf(const std::string &Service, std::size_t SlotCount) {
  auto &Slots = Holds[Service];
  if (Slots.size() != SlotCount)
    Slots.resize(SlotCount);
  return Slots;
}

order_keeper::target_record &
order_keeper::recordOf(const target_member &Member) {
  target_record &Record = Targets[Member.TargetId];
  if (Record.Incarnation != Member.Incarnation) {
    Record = target_record();
    Record.Incarnation = Member.Incarnation;
  }
  return Record;
}

//! A hand-over belongs to the first grant after its release and to that one's
//! renewals; what a later owner knows is newer.
void order_keeper::fitHandover(slot_hold &Hold, const owned_slot &Slot) {
  if (!held(Slot))
    return;
  if (Hold.HandoverFor == 0)
    Hold.HandoverFor = Slot.Token;
  if (Hold.HandoverFor != Slot.Token)
    Hold.Handover.clear();
}

//! Neighbours share a call where they have the same owner, token and hand-over
//! and are all to be served or all to be released.
std::vector<order_keeper::found_run>
order_keeper::runsOf(const cluster_state &State, const service &Service) {
  std::vector<found_run> Runs;
  const auto Table = State.slotsPart(Service.Name);
  auto &Slots = holdsOf(Service.Name, Table->size());
  for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
    const owned_slot &Slot = (*Table)[Number];
    if (!calledOwner(State, Slot))
      continue;
    fitHandover(Slots[Number], Slot);
    const order_kind Kind =
        held(Slot) ? order_kind::Grant : order_kind::Release;
    const std::string &Handover = Slots[Number].Handover;
    if (!Runs.empty()) {
      found_run &Last = Runs.back();
      if (Last.Run.Last + 1 == Number && Last.Run.Token == Slot.Token &&
          Last.Run.Kind == Kind && Last.Owner == Slot.Owner &&
          Last.Handover == Handover) {
        Last.Run.Last = Number;
        continue;
      }
    }
    Runs.push_back({{Number, Number, Slot.Token, Kind}, Slot.Owner, Handover});
  }
  return Runs;
}

//! A grant that reaches its target after a release undoes it, so a release
//! waits for the grants before it.
bool order_keeper::grantUnderWay(const service &Service,
                                 const found_run &Found) const {
  const auto &Slots = Holds.at(Service.Name);
  for (auto Number = Found.Run.First; Number <= Found.Run.Last; ++Number)
    if (Slots[Number].InFlight > 0)
      return true;
  return false;
}

bool order_keeper::callDue(const call_record &Call, order_kind Kind,
                           mono_time Now) const {
  if (Call.InFlight)
    return false;
  if (Call.EndedAt == mono_time())
    return true;
  if (Call.Failed)
    return Now - Call.EndedAt >= Times.RetryAfter;
  return Kind == order_kind::Grant && Now - Call.EndedAt >= Times.RenewEvery;
}

std::vector<target_order> order_keeper::due(const cluster_state &State,
                                            const lease_table &Leases,
                                            mono_time Now) {
  std::vector<target_order> Orders;
  forgetOldCalls(State, Leases);
  for (const service &Service : State.inventoryPart()->Services)
    if (State.slotsPart(Service.Name))
      addOrders(State, Service, Now, Orders);
  return Orders;
}

void order_keeper::addOrders(const cluster_state &State, const service &Service,
                             mono_time Now, std::vector<target_order> &Orders) {
  std::map<std::string, std::vector<run>> Present;
  const auto Runs = runsOf(State, Service);
  const auto SlotCount =
      static_cast<std::uint32_t>(State.slotsPart(Service.Name)->size());
  for (const found_run &Found : Runs) {
    const target_member &Member = State.targets().at(Found.Owner);
    target_record &Record = recordOf(Member);
    Present[Found.Owner].push_back(Found.Run);
    call_record &Call = Record.Calls[{Service.Name, Found.Run}];
    const bool Granting = Found.Run.Kind == order_kind::Grant;
    const bool Held = Granting ? Record.Suspect : grantUnderWay(Service, Found);
    if (Held || !callDue(Call, Found.Run.Kind, Now))
      continue;
    Call.InFlight = true;
    if (Record.DoneAt == mono_time())
      Record.DoneAt = Now;
    if (Granting)
      noteSent(Service.Name, Found.Run);
    Orders.push_back({Found.Run.Kind, Member.TargetId, Member.Incarnation,
                      Member.Address, Service.Name, Found.Run.First,
                      Found.Run.Last, SlotCount, Service.KeySpace,
                      Found.Run.Token, Times.Hold, Found.Handover});
  }
  for (auto &Entry : Targets)
    std::erase_if(Entry.second.Calls, [&](const auto &Each) {
      const auto &Runs = Present[Entry.first];
      return Each.first.first == Service.Name && !Each.second.InFlight &&
             std::find(Runs.begin(), Runs.end(), Each.first.second) ==
                 Runs.end();
    });
}

void order_keeper::noteSent(const std::string &Service, const run &Run) {
  auto &Slots = Holds[Service];
  for (auto Number = Run.First; Number <= Run.Last; ++Number) {
    ++Slots[Number].InFlight;
    Slots[Number].Token = std::max(Slots[Number].Token, Run.Token);
  }
}

//! Two releases of a slot may be under way if its neighbour was revoked between
//! them. The answer to the second may come when the slot has its next owner,
//! and then tells nothing about it.
void order_keeper::noteReleased(slot_hold &Slot, std::uint64_t Token,
                                const std::string &Handover) {
  if (Token < Slot.Token)
    return;
  Slot.AnsweredUntil = mono_time();
  Slot.Handover = Handover;
  Slot.HandoverFor = 0;
}

void order_keeper::forgetOldCalls(const cluster_state &State,
                                  const lease_table &Leases) {
  std::erase_if(Targets, [&](const auto &Entry) {
    return !State.targets().contains(Entry.first);
  });
  for (auto &[Id, Record] : Targets) {
    // A target that is heard after a failed call may be called again.
    if (Record.Failures > 0 && Leases.targetHeardAt(Id) > Record.FailedAt)
      Record.Failures = 0;
    const bool Granted = std::any_of(
        Record.Calls.begin(), Record.Calls.end(), [](const auto &Call) {
          return Call.first.second.Kind == order_kind::Grant;
        });
    if (!Granted)
      Record.Suspect = false;
  }
}

void order_keeper::answered(const target_order &Order,
                            const order_result &Result, mono_time Now) {
  const run Run{Order.FirstSlot, Order.LastSlot, Order.Token, Order.Kind};
  const bool Done = Result.Outcome == order_outcome::Done;
  const bool Granting = Order.Kind == order_kind::Grant;
  auto &Slots = holdsOf(Order.Service, Order.SlotCount);
  for (auto Number = Order.FirstSlot; Number <= Order.LastSlot; ++Number) {
    slot_hold &Slot = Slots[Number];
    if (Granting && Slot.InFlight > 0)
      --Slot.InFlight;
    if (Granting && Done) {
      Slot.AnsweredUntil = std::max(Slot.AnsweredUntil, surelyEnded(Now));
      Slot.Confirmed = std::max(Slot.Confirmed, Order.Token);
    } else if (Granting && (Result.Outcome == order_outcome::NoAnswer ||
                            Result.Outcome == order_outcome::Broken)) {
      Slot.LateUntil = std::max(Slot.LateUntil, surelyEnded(Now));
    } else if (!Granting && Done) {
      noteReleased(Slot, Order.Token, Result.Handover);
    }
  }
  const auto Found = Targets.find(Order.TargetId);
  if (Found == Targets.end() || Found->second.Incarnation != Order.Incarnation)
    return;
  target_record &Record = Found->second;
  const auto Call = Record.Calls.find({Order.Service, Run});
  if (Call != Record.Calls.end())
    Call->second = {false, !Done, Now};
  Record.Failures = Done ? 0 : Record.Failures + 1;
  (Done ? Record.DoneAt : Record.FailedAt) = Now;
  Record.Suspect |= Result.Outcome == order_outcome::Refused ||
                    Result.Outcome == order_outcome::Broken ||
                    Result.Outcome == order_outcome::Unreachable ||
                    Result.Outcome == order_outcome::Gone;
  if (Result.Outcome != order_outcome::Gone)
    return;
  // A process that has ended holds nothing, and what it had not yet carried
  // out ended with it.
  for (const auto &[Key, Ended] : Record.Calls)
    if (Key.first == Order.Service)
      for (auto Number = Key.second.First; Number <= Key.second.Last; ++Number)
        if (Key.second.Token >= Slots[Number].Token)
          Slots[Number].AnsweredUntil = Slots[Number].LateUntil = mono_time();
}

mono_time order_keeper::mayServeUntil(const slot_hold &Slot,
                                      mono_time Now) const {
  if (Slot.InFlight > 0)
    return std::max(Slot.LateUntil, surelyEnded(Now + Times.CallTimeout));
  return std::max(Slot.LateUntil, Slot.AnsweredUntil);
}

void order_keeper::noteSlot(const std::string &Service, std::uint32_t Number,
                            const owned_slot &Slot, const slot_hold &Known,
                            mono_time Now, call_hold &Hold) const {
  const mono_time Until = mayServeUntil(Known, Now);
  Hold.HeldUntil = std::max(Hold.HeldUntil, Until);
  if (Slot.Phase == slot_phase::Granted && Known.Confirmed != Slot.Token)
    Hold.TakenIndex = std::min(Hold.TakenIndex, Slot.ChangedIndex - 1);
  if (Slot.Phase == slot_phase::Revoking && Now <= Until)
    Hold.Unsettled[Service].insert(Number);
}

//! A target is left that seems to be another process than the one that was
//! ordered, or whose calls have failed for a while.
void order_keeper::noteTarget(const std::string &TargetId, bool HasSlots,
                              mono_time Now, call_hold &Hold) const {
  const auto Found = Targets.find(TargetId);
  if (Found == Targets.end() || Found->second.Incarnation != Hold.Incarnation)
    return;
  const target_record &Record = Found->second;
  const bool GivenUp = HasSlots && Record.Failures > 0 &&
                       Now - Record.DoneAt > Times.GivenUpAfter;
  Hold.Keeps = !Record.Suspect && !GivenUp;
  Hold.Answers = Record.Failures == 0;
}

void order_keeper::noteHolds(const cluster_state &State, lease_table &Leases,
                             mono_time Now) const {
  std::map<std::string, call_hold> All;
  std::set<std::string> WithSlots;
  for (const auto &[Id, Member] : State.targets())
    if (Member.OrderedByCall) {
      call_hold &Hold = All[Id];
      Hold.Incarnation = Member.Incarnation;
      Hold.NotedIndex = State.index();
      Hold.TakenIndex = std::numeric_limits<std::uint64_t>::max();
    }
  for (const auto &[Name, Slots] : Holds) {
    const auto Table = State.slotsPart(Name);
    if (!Table || Table->size() != Slots.size())
      continue;
    for (std::uint32_t Number = 0; Number < Slots.size(); ++Number) {
      const owned_slot &Slot = (*Table)[Number];
      if (!calledOwner(State, Slot))
        continue;
      noteSlot(Name, Number, Slot, Slots[Number], Now, All[Slot.Owner]);
      if (held(Slot))
        WithSlots.insert(Slot.Owner);
    }
  }
  for (auto &[Id, Hold] : All) {
    noteTarget(Id, WithSlots.contains(Id), Now, Hold);
    Leases.noteHold(Id, Hold);
  }
}

} // namespace pomelo
