//! Maps keys to key slots.
#ifndef POMELOSWITCH_STATE_KEY_SLOT_HPP
#define POMELOSWITCH_STATE_KEY_SLOT_HPP

#include <cstdint>
#include <string_view>

namespace pomelo {

//! Returns the slot of \p Key, in [0, SlotCount). The mapping is part of the
//! inner protocol: every process must compute the same slot.
//! If \p KeySpace is not 0, keys are decimal numbers below it and each slot
//! holds a contiguous range of keys; otherwise the key is hashed.
//! \throws pomelo_error MissingKey if \p Key is not such a number.
std::uint32_t slotOfKey(std::string_view Key, std::uint32_t SlotCount,
                        std::uint32_t KeySpace = 0);

//! Returns the lowest key of a slot if keys are numbers below \p KeySpace.
//! Returns \p KeySpace for Slot == SlotCount.
std::uint32_t firstKeyOfSlot(std::uint32_t Slot, std::uint32_t SlotCount,
                             std::uint32_t KeySpace);

//! Returns a 64-bit hash that is the same in every process.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

} // namespace pomelo

#endif
