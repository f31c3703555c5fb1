//! The mapping of keys to slots.
#ifndef POMELOSWITCH_STATE_KEY_SLOT_HPP
#define POMELOSWITCH_STATE_KEY_SLOT_HPP

#include <cstdint>
#include <string_view>

namespace pomelo {

//! The slot of \p Key among \p SlotCount slots, in [0, SlotCount). The mapping
//! is part of the inner protocol: every process must compute the same slot.
//! With a \p KeySpace, keys are decimal numbers below it, and neighbours share
//! a slot. \throws pomelo_error MissingKey if \p Key is no such number.
std::uint32_t slotOfKey(std::string_view Key, std::uint32_t SlotCount,
                        std::uint32_t KeySpace = 0);

//! The lowest key of a slot, where keys are numbers below \p KeySpace; for
//! Slot == SlotCount, \p KeySpace.
std::uint32_t firstKeyOfSlot(std::uint32_t Slot, std::uint32_t SlotCount,
                             std::uint32_t KeySpace);

//! A 64-bit hash that is the same in every process.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

} // namespace pomelo

#endif
