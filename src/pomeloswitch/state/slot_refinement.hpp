//! Division of the slots of a service into smaller ones.
//!
//! A service with many targets needs more slots than its configuration names,
//! so that the targets' shares of the keys can differ as their speeds do, and
//! so that neighbouring busy keys can have several owners. Dividing a slot
//! changes neither the owner nor the fencing token of any key.
#ifndef POMELOSWITCH_STATE_SLOT_REFINEMENT_HPP
#define POMELOSWITCH_STATE_SLOT_REFINEMENT_HPP

#include "pomeloswitch/state/slot_table.hpp"

#include <cstdint>
#include <optional>

namespace pomelo {

inline constexpr std::uint32_t MaxSlotsPerService = 4096;
//! With fewer targets the configured slots are left as they are.
inline constexpr std::size_t MinTargetsToRefine = 64;

//! Returns the number of slots that a service with \p Targets targets needs,
//! or nothing if \p SlotCount suffices or the key space cannot be divided
//! further. Services with few targets, or with hashed keys, keep theirs.
[[nodiscard]] std::optional<std::uint32_t>
wantedSlotCount(std::uint32_t SlotCount, std::size_t Targets,
                std::uint32_t KeySpace);

//! Whether the slots can be divided into \p SlotCount: a multiple of their
//! number, and no owner relies on the entry hosts to know when its requests on
//! a revoked slot have ended, since these know the slots by their numbers.
[[nodiscard]] bool mayRefine(const slot_table &Table, std::uint32_t SlotCount);

//! \pre mayRefine(Table, SlotCount)
[[nodiscard]] slot_table refined(const slot_table &Table,
                                 std::uint32_t SlotCount);

//! Whether a table of \p SlotCount slots can come from one of \p Configured.
[[nodiscard]] constexpr bool isRefinementOf(std::size_t SlotCount,
                                            std::size_t Configured) {
  return Configured > 0 && SlotCount % Configured == 0;
}

} // namespace pomelo

#endif
