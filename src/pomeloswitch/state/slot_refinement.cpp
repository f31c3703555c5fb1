#include "pomeloswitch/state/slot_refinement.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! Shares that differ by a quarter of a target's own can be told apart.
constexpr std::size_t SlotsPerTarget = 4;

} // namespace

std::optional<std::uint32_t> wantedSlotCount(std::uint32_t SlotCount,
                                             std::size_t Targets,
                                             std::uint32_t KeySpace) {
  if (Targets < MinTargetsToRefine || SlotCount == 0)
    return std::nullopt;
  std::uint32_t Wanted = SlotCount;
  while (Wanted < SlotsPerTarget * Targets &&
         2 * Wanted <= MaxSlotsPerService && KeySpace >= 2 * Wanted &&
         KeySpace % (2 * Wanted) == 0)
    Wanted *= 2;
  if (Wanted == SlotCount)
    return std::nullopt;
  return Wanted;
}

bool mayRefine(const slot_table &Table, std::uint32_t SlotCount) {
  if (Table.empty() || SlotCount <= Table.size() ||
      SlotCount > MaxSlotsPerService || SlotCount % Table.size() != 0)
    return false;
  return std::all_of(
      Table.begin(), Table.end(), [](const slot_ownership &Slot) {
        return Slot.Phase == slot_phase::Unowned || Slot.OwnerChecksFence;
      });
}

slot_table refined(const slot_table &Table, std::uint32_t SlotCount) {
  const std::size_t Parts = SlotCount / Table.size();
  slot_table Refined;
  Refined.reserve(SlotCount);
  for (const slot_ownership &Slot : Table)
    Refined.insert(Refined.end(), Parts, Slot);
  return Refined;
}

} // namespace pomelo
