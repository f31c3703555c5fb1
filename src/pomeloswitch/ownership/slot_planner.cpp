#include "pomeloswitch/ownership/slot_planner.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <set>

namespace pomelo {
namespace {

//! How far a target's measured speed counts, so that a poor measurement does
//! not leave it without slots or with all of them.
constexpr double SlowestFactor = 0.4;
constexpr double FastestFactor = 2.5;

//! One target that may own slots, and how many it holds.
struct candidate {
  const target_member *Target;
  bool Receives = true; //!< May be given more.
  double Capacity = 1;  //!< Requests that it can run in some time.
  double Held = 0;      //!< Weight of its slots.
};

//! The plan of one service in one round.
class service_plan {
public:
  service_plan(const cluster_state &State, const lease_table &Leases,
               const load_table &Loads, const planner_limits &Limits,
               const service &Service, mono_time Now)
      : State(State), Leases(Leases), Loads(Loads), Limits(Limits),
        Service(Service), Now(Now), Table(State.slotsPart(Service.Name)) {}

  void run(std::vector<wire::command> &Commands) {
    if (!Table)
      return;
    Weights = Loads.weights(Service.Name, Table->size(), Now);
    collectCandidates();
    countHeld();
    planSlots();
    planBalance();
    emit(Commands);
  }

private:
  void collectCandidates() {
    for (const auto &[Id, Target] : State.targets())
      if (Target.Service == Service.Name && !Target.Leaving &&
          !State.takenOut(Target) && Leases.targetKeeps(Target, Now))
        Candidates.push_back({&Target, Leases.targetReceives(Target, Now),
                              static_cast<double>(Target.Slots)});
    // A cold target bears less than its keys would bring; it waits unless
    // there is no other.
    const auto Warm = [](const candidate &Each) {
      return Each.Receives && !Each.Target->Cold;
    };
    if (std::any_of(Candidates.begin(), Candidates.end(), Warm))
      for (candidate &Each : Candidates)
        Each.Receives = Warm(Each);
    fitCapacities();
  }

  //! Targets of one service differ in speed. One whose speed is not known
  //! counts as an average one.
  void fitCapacities() {
    double Sum = 0;
    unsigned Known = 0;
    for (const candidate &Each : Candidates)
      if (const double Seconds = Loads.secondsOf(Each.Target->TargetId);
          Seconds > 0) {
        Sum += Seconds;
        ++Known;
      }
    if (Known == 0)
      return;
    const double Mean = Sum / Known;
    for (candidate &Each : Candidates) {
      const double Seconds = Loads.secondsOf(Each.Target->TargetId);
      if (Seconds > 0)
        Each.Capacity *=
            std::clamp(Mean / Seconds, SlowestFactor, FastestFactor);
    }
  }

  candidate *findCandidate(std::string_view Id) {
    const auto Found = std::find_if(
        Candidates.begin(), Candidates.end(),
        [Id](const candidate &Each) { return Each.Target->TargetId == Id; });
    return Found == Candidates.end() ? nullptr : &*Found;
  }

  void countHeld() {
    for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
      const owned_slot &Slot = (*Table)[Number];
      if (Slot.Phase == slot_phase::Revoking)
        ++Moving;
      else if (Slot.Phase != slot_phase::Unowned)
        if (candidate *Owner = findCandidate(Slot.Owner))
          Owner->Held += Weights[Number];
    }
  }

  //! The candidate to give the next slot to. Neighbouring slots go to the same
  //! one until it has its share, so that few calls cover them.
  candidate *nextReceiver() {
    if (Receiver && Receiver->Held < shareOf(*Receiver))
      return Receiver;
    Receiver = nullptr;
    for (candidate &Each : Candidates)
      if (Each.Receives && (!Receiver || fuller(*Receiver, Each)))
        Receiver = &Each;
    return Receiver;
  }

  static bool fuller(const candidate &Left, const candidate &Right) {
    return Right.Held * Left.Capacity < Left.Held * Right.Capacity;
  }

  [[nodiscard]] double totalWeight() const {
    return std::accumulate(Weights.begin(), Weights.end(), 0.0);
  }

  //! The weight that the target should have.
  [[nodiscard]] double shareOf(const candidate &Candidate) const {
    double Size = 0;
    for (const candidate &Each : Candidates)
      Size += Each.Receives ? Each.Capacity : 0;
    return Size == 0 ? 0 : totalWeight() * Candidate.Capacity / Size;
  }

  //! Whether the last owner of a revoked slot starts no more work on it. An
  //! owner that checks the fence refuses it by itself; towards any other, the
  //! entry hosts must have stopped and what they sent must have ended.
  bool handoverSafe(std::uint32_t Number, const owned_slot &Slot) const {
    return Slot.OwnerChecks ? checkingOwnerLetGo(Number, Slot)
                            : Leases.quiesced(State, Slot.ChangedIndex,
                                              longestDeadline(), Now);
  }

  //! The member of an id is replaced or dropped only after its lease ran out.
  bool checkingOwnerLetGo(std::uint32_t Number, const owned_slot &Slot) const {
    const auto Owner = State.targets().find(Slot.Owner);
    if (Owner == State.targets().end() ||
        Owner->second.Incarnation != Slot.OwnerIncarnation)
      return true;
    return Leases.targetLetGo(Owner->second, Now) ||
           Leases.slotLetGo(Owner->second, Service.Name, Number,
                            Slot.ChangedIndex);
  }

  milliseconds longestDeadline() const {
    return milliseconds(State.longestDeadlineMs(Service.Name));
  }

  void grant(std::uint32_t Number, const owned_slot &Slot) {
    candidate *Owner = nextReceiver();
    if (!Owner && Slot.Phase == slot_phase::Unowned)
      return;
    auto *Grant = Grants.add_grants();
    Grant->set_slot(Number);
    Grant->set_since_index(Slot.ChangedIndex);
    if (!Owner)
      return;
    Owner->Held += Weights[Number];
    Grant->set_target_id(Owner->Target->TargetId);
  }

  //! An owner that is going loses its slots also where no other can take them:
  //! it must get no new work.
  void planSlots() {
    for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
      const owned_slot &Slot = (*Table)[Number];
      if (Slot.Phase == slot_phase::Unowned ||
          (Slot.Phase == slot_phase::Revoking && handoverSafe(Number, Slot)))
        grant(Number, Slot);
      else if (Slot.Phase != slot_phase::Revoking && !findCandidate(Slot.Owner))
        Revokes.add_slots(Number);
    }
  }

  //! Moves slots from owners above their share, if that brings them closer to
  //! it without putting the next owner above its own.
  void planBalance() {
    if (Candidates.size() < 2 || Grants.grants_size() > 0 ||
        Revokes.slots_size() > 0)
      return;
    const bool ByLoad = Loads.known(Service.Name, Now);
    const std::uint32_t Most =
        ByLoad ? Limits.LoadMovesInFlight : Limits.MovesInFlight;
    const double Average = totalWeight() / static_cast<double>(Table->size());
    for (std::uint32_t Free = Most > Moving ? Most - Moving : 0; Free > 0;
         --Free)
      if (!planMove(Average, ByLoad))
        return;
  }

  bool planMove(double Average, bool ByLoad) {
    candidate *From = nullptr;
    candidate *To = nullptr;
    for (candidate &Each : Candidates) {
      if (!From || fuller(Each, *From))
        From = &Each;
      if (Each.Receives && (!To || fuller(*To, Each)))
        To = &Each;
    }
    if (!To || From == To)
      return false;
    const double Share = shareOf(*From);
    const double Allowed = Limits.Tolerance * Average +
                           (ByLoad ? Limits.LoadTolerance * Share : 0);
    const double Excess = From->Held - Share;
    if (Excess < Allowed)
      return false;
    const double Room = std::max(Excess, shareOf(*To) - To->Held);
    std::optional<std::uint32_t> Best;
    for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
      const owned_slot &Slot = (*Table)[Number];
      const bool Movable = Slot.Phase == slot_phase::Active &&
                           Slot.Owner == From->Target->TargetId &&
                           !Chosen.contains(Number) &&
                           Weights[Number] <= std::min(Room, Excess);
      if (Movable && (!Best || Weights[Number] > Weights[*Best]))
        Best = Number;
    }
    if (!Best)
      return false;
    From->Held -= Weights[*Best];
    To->Held += Weights[*Best];
    Chosen.insert(*Best);
    Revokes.add_slots(*Best);
    return true;
  }

  void emit(std::vector<wire::command> &Commands) {
    if (Revokes.slots_size() > 0) {
      Revokes.set_service(Service.Name);
      *Commands.emplace_back().mutable_revoke_slots() = std::move(Revokes);
    }
    if (Grants.grants_size() > 0) {
      Grants.set_service(Service.Name);
      *Commands.emplace_back().mutable_grant_slots() = std::move(Grants);
    }
    emitActivations(Commands);
  }

  void emitActivations(std::vector<wire::command> &Commands) {
    for (const candidate &Each : Candidates) {
      const auto &Id = Each.Target->TargetId;
      const std::uint64_t TakenIndex = Leases.takenIndex(*Each.Target);
      if (!hasGrantToActivate(Id, TakenIndex))
        continue;
      auto *Activate = Commands.emplace_back().mutable_activate_slots();
      Activate->set_service(Service.Name);
      Activate->set_target_id(Id);
      Activate->set_taken_index(TakenIndex);
    }
  }

  bool hasGrantToActivate(std::string_view Id, std::uint64_t TakenIndex) const {
    return std::any_of(
        Table->begin(), Table->end(), [&](const owned_slot &Slot) {
          return Slot.Phase == slot_phase::Granted && Slot.Owner == Id &&
                 Slot.ChangedIndex <= TakenIndex;
        });
  }

  const cluster_state &State;
  const lease_table &Leases;
  const load_table &Loads;
  const planner_limits &Limits;
  const service &Service;
  mono_time Now;
  std::shared_ptr<const slot_table> Table;
  std::vector<candidate> Candidates;
  candidate *Receiver = nullptr;  //!< Was given the latest slot.
  std::vector<double> Weights;    //!< Of each slot.
  std::set<std::uint32_t> Chosen; //!< Slots that this plan moves.
  std::uint32_t Moving = 0;
  wire::grant_slots Grants;
  wire::revoke_slots Revokes;
};

} // namespace

std::vector<wire::command> slot_planner::plan(const cluster_state &State,
                                              const lease_table &Leases,
                                              const load_table &Loads,
                                              mono_time Now) const {
  std::vector<wire::command> Commands;
  for (const service &Service : State.inventoryPart()->Services)
    if (Service.DividedByKey)
      service_plan(State, Leases, Loads, Limits, Service, Now).run(Commands);
  return Commands;
}

} // namespace pomelo
