#include "pomeloswitch/ownership/slot_planner.hpp"

#include "pomeloswitch/state/rollout_targets.hpp"
#include "pomeloswitch/state/slot_refinement.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <set>

namespace pomelo {
namespace {

//! Limits of the factor that a target's measured speed applies to its capacity,
//! so that a poor measurement does not leave it without slots or with all of
//! them.
constexpr double SlowestFactor = 0.4;
constexpr double FastestFactor = 2.5;
//! Capacity of a target that a roll-out gives no more slots.
constexpr double NegligibleCapacity = 1e-9;
//! Part of a service's slots that may move at a time for a roll-out.
constexpr std::size_t RolloutMovesDivisor = 8;

//! A target that may own slots, and the weight of the slots that it owns.
struct candidate {
  const target_member *Target;
  bool MayReceive = true;  //!< Whether it may be granted more slots.
  double Capacity = 1;     //!< Relative request throughput.
  double OwnedWeight = 0;  //!< Total weight of its slots.
  bool NewVersion = false; //!< Of a roll-out under way.
};

//! Computes the plan of one service; used for a single run() call.
class service_plan {
public:
  service_plan(const cluster_state &State, const lease_table &Leases,
               const load_table &Loads, const planner_limits &Limits,
               const service &Service, mono_time Now)
      : State(State), Leases(Leases), Loads(Loads), Limits(Limits),
        Service(Service), Now(Now), Table(State.sharedSlots(Service.Name)) {
    const rollout *Latest = State.rollouts().find(Service.Name);
    if (Latest && !Latest->ended())
      Rollout = Latest;
  }

  void run(std::vector<wire::command> &Commands) {
    if (!Table)
      return;
    Weights = Loads.slotWeights(Service.Name, Table->size(), Now);
    TotalWeight = std::accumulate(Weights.begin(), Weights.end(), 0.0);
    collectCandidates();
    sumOwnedWeights();
    if (planRefinement(Commands))
      return;
    planGrantsAndRevocations();
    planRolloutMoves();
    planBalance();
    emit(Commands);
  }

private:
  void collectCandidates() {
    for (const auto &[Id, Target] : State.targets())
      if (Target.Service == Service.Name && !Target.Leaving &&
          !State.drainedByOperators(Target) && mayKeepInRollout(Target) &&
          Leases.mayKeepSlots(Target, Now))
        Candidates.push_back({&Target, Leases.mayReceiveSlots(Target, Now),
                              static_cast<double>(Target.Slots)});
    // A cold target cannot handle its full share of requests, so it receives
    // slots only if no warm target can.
    const auto Warm = [](const candidate &Each) {
      return Each.MayReceive && !Each.Target->Cold;
    };
    if (std::any_of(Candidates.begin(), Candidates.end(), Warm))
      for (candidate &Each : Candidates)
        Each.MayReceive = Warm(Each);
    scaleCapacities();
    divideByRollout();
    for (const candidate &Each : Candidates)
      ReceivingCapacity += Each.MayReceive ? Each.Capacity : 0;
  }

  //! Divides the slots if the service has too few for its targets. The rest of
  //! the plan would name slots by numbers that are about to change.
  bool planRefinement(std::vector<wire::command> &Commands) const {
    const auto Wanted =
        wantedSlotCount(static_cast<std::uint32_t>(Table->size()),
                        Candidates.size(), Service.KeySpace);
    if (!Wanted || !mayRefine(*Table, *Wanted))
      return false;
    auto &Refinement = *Commands.emplace_back().mutable_refine_slots();
    Refinement.set_service(Service.Name);
    Refinement.set_slot_count(*Wanted);
    return true;
  }

  //! Moves at a time, for a limit that was set for the configured slots: a part
  //! of a slot carries a part of its requests.
  [[nodiscard]] std::uint32_t scaledMoves(std::uint32_t Limit) const {
    const std::size_t Parts = std::max<std::size_t>(
        1, Table->size() / std::max(1U, Service.KeySlots));
    return static_cast<std::uint32_t>(Limit * Parts);
  }

  //! At the end of a roll-out the slots of the old versions move a few at a
  //! time, like before.
  bool mayKeepInRollout(const target_member &Target) const {
    return State.allowedByRollout(Target) ||
           (Rollout && Rollout->replaces(Target.Version));
  }

  //! Scales capacities so that the new version gets its share of the weight.
  void divideByRollout() {
    if (!Rollout)
      return;
    const name_set HeldBack = heldBackTargets(State);
    double Old = 0;
    double New = 0;
    for (candidate &Each : Candidates) {
      Each.NewVersion = Each.Target->Version == Rollout->Version;
      if (HeldBack.contains(Each.Target->TargetId))
        retire(Each);
      (Each.NewVersion ? New : Old) += Each.Capacity;
    }
    const double Share = rolloutShare();
    for (candidate &Each : Candidates) {
      if (Each.NewVersion && Share < 1 && New > 0)
        Each.Capacity *= Share / (1 - Share) * Old / New;
      else if (!Each.NewVersion && Share >= 1)
        retire(Each);
    }
  }

  static void retire(candidate &Each) {
    Each.MayReceive = false;
    Each.Capacity = NegligibleCapacity;
  }

  double rolloutShare() const {
    return Rollout->SharePermille / double{WholeShare};
  }

  //! Scales capacities by the measured speeds of the targets. A target whose
  //! speed is not known is treated as having average speed.
  void scaleCapacities() {
    double Sum = 0;
    unsigned Known = 0;
    for (const candidate &Each : Candidates)
      if (const double Seconds = Loads.requestSeconds(Each.Target->TargetId);
          Seconds > 0) {
        Sum += Seconds;
        ++Known;
      }
    if (Known == 0)
      return;
    const double Mean = Sum / Known;
    for (candidate &Each : Candidates) {
      const double Seconds = Loads.requestSeconds(Each.Target->TargetId);
      if (Seconds > 0)
        Each.Capacity *=
            std::clamp(Mean / Seconds, SlowestFactor, FastestFactor);
    }
  }

  candidate *findCandidate(std::string_view Id) {
    const auto Found =
        std::lower_bound(Candidates.begin(), Candidates.end(), Id,
                         [](const candidate &Each, std::string_view Sought) {
                           return Each.Target->TargetId < Sought;
                         });
    return Found == Candidates.end() || Found->Target->TargetId != Id ? nullptr
                                                                      : &*Found;
  }

  void sumOwnedWeights() {
    for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
      const slot_ownership &Slot = (*Table)[Number];
      if (Slot.Phase == slot_phase::Revoking) {
        ++SlotsRevoking;
        RevokingWeight += Weights[Number];
      } else if (Slot.Phase != slot_phase::Unowned)
        if (candidate *Owner = findCandidate(Slot.Owner))
          Owner->OwnedWeight += Weights[Number];
    }
  }

  //! Returns the candidate that receives the next slot, or null. Adjacent slots
  //! go to the same candidate as far as its share allows, so that few calls
  //! cover them.
  candidate *nextReceiver(double Weight) {
    if (Receiver && Receiver->OwnedWeight + Weight <= shareOf(*Receiver))
      return Receiver;
    Receiver = nullptr;
    for (candidate &Each : Candidates)
      if (Each.MayReceive && (!Receiver || moreLoaded(*Receiver, Each)))
        Receiver = &Each;
    return Receiver;
  }

  static bool moreLoaded(const candidate &Left, const candidate &Right) {
    return Right.OwnedWeight * Left.Capacity <
           Left.OwnedWeight * Right.Capacity;
  }

  //! Returns the total slot weight that the candidate should own.
  [[nodiscard]] double shareOf(const candidate &Candidate) const {
    return ReceivingCapacity == 0
               ? 0
               : TotalWeight * Candidate.Capacity / ReceivingCapacity;
  }

  //! Whether the last owner of a revoked slot starts no more work on it. An
  //! owner that checks fencing tokens rejects such work itself. For any other
  //! owner, the entry hosts must have stopped sending requests on the slot and
  //! the deadlines of the requests already sent must have passed.
  bool isReleased(std::uint32_t Number, const slot_ownership &Slot) const {
    return Slot.OwnerChecksFence ? fencingOwnerReleased(Number, Slot)
                                 : Leases.quiesced(State, Slot.ChangedIndex,
                                                   longestDeadline(), Now);
  }

  //! An owner that is no longer a member has released its slots if it was not
  //! ordered by calls, since its lease has expired, or else once its grants
  //! have expired: another process may have reported under its address. So has
  //! an owner whose incarnation was replaced, unless it is ordered by calls:
  //! its successor may have taken grants that were meant for it.
  bool fencingOwnerReleased(std::uint32_t Number,
                            const slot_ownership &Slot) const {
    const auto Owner = State.targets().find(Slot.Owner);
    if (Owner == State.targets().end())
      return !Leases.heldByFormerMember(Service.Name, Number);
    if (Owner->second.Incarnation != Slot.OwnerIncarnation &&
        !Owner->second.OrderedByCall)
      return true;
    return Leases.targetReleased(Owner->second, Now) ||
           Leases.slotReleased(Owner->second, Service.Name, Number,
                               Slot.ChangedIndex);
  }

  milliseconds longestDeadline() const {
    return milliseconds(State.longestDeadlineMs(Service.Name));
  }

  void grant(std::uint32_t Number, const slot_ownership &Slot) {
    candidate *Owner = nextReceiver(Weights[Number]);
    if (!Owner && Slot.Phase == slot_phase::Unowned)
      return;
    auto *Grant = Grants.add_grants();
    Grant->set_slot(Number);
    Grant->set_since_index(Slot.ChangedIndex);
    if (!Owner)
      return;
    Owner->OwnedWeight += Weights[Number];
    Grant->set_target_id(Owner->Target->TargetId);
  }

  //! Grants unowned and released slots and revokes the slots of owners that are
  //! not candidates. These are revoked even if no other target can take them,
  //! because a target that is leaving must get no new work.
  void planGrantsAndRevocations() {
    for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
      const slot_ownership &Slot = (*Table)[Number];
      if (Slot.Phase == slot_phase::Unowned ||
          (Slot.Phase == slot_phase::Revoking && isReleased(Number, Slot)))
        grant(Number, Slot);
      else if (Slot.Phase != slot_phase::Revoking && !findCandidate(Slot.Owner))
        Revokes.add_slots(Number);
    }
  }

  //! Moves slots of the old versions until the new one has its share, counting
  //! those that are under way.
  void planRolloutMoves() {
    if (!Rollout || Grants.grants_size() > 0 || Revokes.slots_size() > 0)
      return;
    double Missing = rolloutShare() * TotalWeight - RevokingWeight;
    for (const candidate &Each : Candidates)
      Missing -= Each.NewVersion ? Each.OwnedWeight : 0;
    const std::size_t MaxMoves =
        std::max<std::size_t>(1, Table->size() / RolloutMovesDivisor);
    for (std::size_t Moves = SlotsRevoking; Moves < MaxMoves && Missing > 0;
         ++Moves) {
      candidate *From = nullptr;
      for (candidate &Each : Candidates)
        if (!Each.NewVersion && (!From || moreLoaded(Each, *From)))
          From = &Each;
      // Rounding must not hold the last slot back.
      const double Largest = rolloutShare() < 1 ? Missing : TotalWeight;
      const auto Moved = From ? heaviestSlot(*From, Largest) : std::nullopt;
      if (!Moved)
        return;
      From->OwnedWeight -= Weights[*Moved];
      Missing -= Weights[*Moved];
      MovedSlots.insert(*Moved);
      Revokes.add_slots(*Moved);
    }
  }

  //! Moves slots from the most loaded owner to the least loaded receiver while
  //! the former exceeds its share by the tolerance or more, or the latter is
  //! nearly idle, within the limits on moves in flight. Plans no moves in a
  //! round that grants or revokes slots for other reasons.
  void planBalance() {
    if (Candidates.size() < 2 || Grants.grants_size() > 0 ||
        Revokes.slots_size() > 0)
      return;
    const bool ByLoad = Loads.hasLoads(Service.Name, Now);
    const std::uint32_t MaxMoves =
        scaledMoves(ByLoad ? Limits.LoadMovesInFlight : Limits.MovesInFlight);
    const double Average = TotalWeight / static_cast<double>(Table->size());
    for (std::uint32_t Remaining =
             MaxMoves > SlotsRevoking ? MaxMoves - SlotsRevoking : 0;
         Remaining > 0; --Remaining)
      if (!planMove(Average, ByLoad))
        return;
  }

  //! Revokes the heaviest movable slot that does not weigh more than the excess
  //! of the most loaded owner, or than what a nearly idle receiver lacks.
  //! Returns false if no move is possible or needed.
  bool planMove(double Average, bool ByLoad) {
    candidate *From = nullptr;
    candidate *To = nullptr;
    for (candidate &Each : Candidates) {
      if (!From || moreLoaded(Each, *From))
        From = &Each;
      if (Each.MayReceive && (!To || moreLoaded(*To, Each)))
        To = &Each;
    }
    if (!To || From == To)
      return false;
    const double Share = shareOf(*From);
    const double Allowed = Limits.Tolerance * Average +
                           (ByLoad ? Limits.LoadTolerance * Share : 0);
    const double Excess = From->OwnedWeight - Share;
    std::optional<std::uint32_t> Moved;
    if (Excess >= Allowed)
      Moved = heaviestSlot(*From, Excess);
    else if (SlotsRevoking == 0 && // Those may be for this receiver.
             To->OwnedWeight < Limits.MinFill * shareOf(*To))
      Moved = heaviestSlot(*From, weightToFill(*From, *To));
    if (!Moved)
      return false;
    From->OwnedWeight -= Weights[*Moved];
    To->OwnedWeight += Weights[*Moved];
    MovedSlots.insert(*Moved);
    Revokes.add_slots(*Moved);
    return true;
  }

  //! Returns the weight that a receiver lacks, or less, so that \p From stays
  //! at least as loaded as it: the slot would else move back.
  [[nodiscard]] double weightToFill(const candidate &From,
                                    const candidate &To) const {
    const double Even =
        (From.OwnedWeight * To.Capacity - To.OwnedWeight * From.Capacity) /
        (From.Capacity + To.Capacity);
    return std::min(shareOf(To) - To.OwnedWeight, Even);
  }

  //! Returns the heaviest slot of \p Owner that can be moved and does not weigh
  //! more than \p MaxWeight.
  [[nodiscard]] std::optional<std::uint32_t>
  heaviestSlot(const candidate &Owner, double MaxWeight) const {
    std::optional<std::uint32_t> Best;
    for (std::uint32_t Number = 0; Number < Table->size(); ++Number) {
      const slot_ownership &Slot = (*Table)[Number];
      const bool Movable = Slot.Phase == slot_phase::Active &&
                           Slot.Owner == Owner.Target->TargetId &&
                           !MovedSlots.contains(Number) &&
                           Weights[Number] <= MaxWeight;
      if (Movable && (!Best || Weights[Number] > Weights[*Best]))
        Best = Number;
    }
    return Best;
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
    std::set<std::string_view> Emitted;
    for (const slot_ownership &Slot : *Table) {
      if (Slot.Phase != slot_phase::Granted || Emitted.contains(Slot.Owner))
        continue;
      const candidate *Owner = findCandidate(Slot.Owner);
      if (!Owner)
        continue;
      const std::uint64_t TakenIndex = Leases.takenIndex(*Owner->Target);
      if (Slot.ChangedIndex > TakenIndex)
        continue;
      Emitted.insert(Slot.Owner);
      auto *Activate = Commands.emplace_back().mutable_activate_slots();
      Activate->set_service(Service.Name);
      Activate->set_target_id(Slot.Owner);
      Activate->set_taken_index(TakenIndex);
    }
  }

  const cluster_state &State;
  const lease_table &Leases;
  const load_table &Loads;
  const planner_limits &Limits;
  const service &Service;
  mono_time Now;
  std::shared_ptr<const slot_table> Table;
  std::vector<candidate> Candidates; //!< Ordered by target id.
  double ReceivingCapacity = 0; //!< Of all candidates that may receive slots.
  //! The candidate that received the latest slot, or null.
  candidate *Receiver = nullptr;
  std::vector<double> Weights; //!< By slot number.
  double TotalWeight = 0;
  //! Slots that this plan moves to another owner.
  std::set<std::uint32_t> MovedSlots;
  std::uint32_t SlotsRevoking = 0; //!< Number of slots being revoked.
  double RevokingWeight = 0;
  const rollout *Rollout = nullptr; //!< Under way; null if there is none.
  wire::grant_slots Grants;
  wire::revoke_slots Revokes;
};

} // namespace

std::vector<wire::command> slot_planner::plan(const cluster_state &State,
                                              const lease_table &Leases,
                                              const load_table &Loads,
                                              mono_time Now) const {
  std::vector<wire::command> Commands;
  for (const service &Service : State.sharedInventory()->Services)
    if (Service.DividedByKey)
      service_plan(State, Leases, Loads, Limits, Service, Now).run(Commands);
  return Commands;
}

} // namespace pomelo
