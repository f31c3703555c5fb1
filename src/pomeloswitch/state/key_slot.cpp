#include "pomeloswitch/state/key_slot.hpp"

#include <xxhash.h>

namespace pomelo {

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint32_t slotOfKey(std::string_view Key, std::uint32_t SlotCount) {
  const std::uint64_t High = stableHash(Key) >> 32;
  return static_cast<std::uint32_t>((High * SlotCount) >> 32);
}

} // namespace pomelo
