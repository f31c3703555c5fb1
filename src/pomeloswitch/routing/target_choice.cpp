#include "pomeloswitch/routing/target_choice.hpp"

#include "pomeloswitch/state/key_slot.hpp"

#include <algorithm>

namespace pomelo {
namespace {

constexpr double MaxJitterFactor = 1.3;

//! Whether the slot is active with the token of \p Owner in \p Table, which may
//! have been divided since. The token alone does not identify a slot: slots
//! that were granted together share one.
bool holdsAllParts(const slot_table &Table, const slot_owner &Owner) {
  if (Owner.SlotCount == 0 || Table.size() % Owner.SlotCount != 0 ||
      Owner.Slot >= Owner.SlotCount)
    return false;
  const std::size_t Parts = Table.size() / Owner.SlotCount;
  const std::span Own = std::span(Table).subspan(Owner.Slot * Parts, Parts);
  return std::all_of(Own.begin(), Own.end(), [&](const slot_ownership &Part) {
    return Part.Token == Owner.Token && Part.Phase == slot_phase::Active;
  });
}

} // namespace

slot_owner findOwner(const routing_view &View, const routing_service &Service,
                     std::string_view Key) {
  slot_owner Owner;
  Owner.SlotCount = Service.Slots->size();
  Owner.Slot = slotOfKey(Key, static_cast<std::uint32_t>(Owner.SlotCount),
                         Service.KeySpace);
  const slot_ownership &Slot = (*Service.Slots)[Owner.Slot];
  Owner.Token = Slot.Token;
  if (Slot.Phase != slot_phase::Active)
    return Owner;
  const auto Target = View.Targets.find(Slot.Owner);
  if (Target != View.Targets.end())
    Owner.Target = Target->second;
  return Owner;
}

bool mayStillSend(const routing_view &View, std::string_view ServiceName,
                  const slot_owner &Owner) {
  const auto Target = View.Targets.find(Owner.Target->Member.TargetId);
  if (Target == View.Targets.end() ||
      Target->second->Member.Incarnation != Owner.Target->Member.Incarnation)
    return false;
  const routing_service *Service = View.findService(ServiceName);
  if (!Service || !Service->Slots)
    return Target->second->AcceptsNewWork;
  return holdsAllParts(*Service->Slots, Owner);
}

bool isExcluded(const routing_target &Target,
                std::span<const std::string> Excluded) {
  return std::find(Excluded.begin(), Excluded.end(), Target.Member.TargetId) !=
         Excluded.end();
}

void weighted_choice::offer(const routing_target_ptr &Target, double Load) {
  std::uniform_real_distribution<double> Jitter(1.0, MaxJitterFactor);
  const double JitteredLoad = Load * Jitter(Random);
  if (Best && JitteredLoad >= BestLoad)
    return;
  Best = Target;
  BestLoad = JitteredLoad;
}

routing_target_ptr
chooseBest(const routing_service &Service,
           std::span<const std::string> Excluded,
           const std::function<bool(const routing_target &)> &Usable,
           const load_estimate &Load, random_engine &Random) {
  weighted_choice Choice(Random);
  for (const auto &Target : Service.Targets)
    if (Target->AcceptsNewWork && !isExcluded(*Target, Excluded) &&
        Usable(*Target))
      Choice.offer(Target, Load(*Target));
  return Choice.best();
}

} // namespace pomelo
