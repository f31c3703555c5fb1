#include "pomeloswitch/state/key_slot.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <xxhash.h>

#include <charconv>

namespace pomelo {
namespace {

std::uint32_t parseKey(std::string_view Key, std::uint32_t KeySpace) {
  std::uint32_t Number = 0;
  const auto [End, Failure] =
      std::from_chars(Key.data(), Key.data() + Key.size(), Number);
  if (Failure != std::errc() || End != Key.data() + Key.size() ||
      Number >= KeySpace)
    throw pomelo_error(
        error_kind::MissingKey,
        "the key is not a number in the key space of its service");
  return Number;
}

} // namespace

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint32_t slotOfKey(std::string_view Key, std::uint32_t SlotCount,
                        std::uint32_t KeySpace) {
  if (KeySpace > 0)
    return static_cast<std::uint32_t>(std::uint64_t{parseKey(Key, KeySpace)} *
                                      SlotCount / KeySpace);
  const std::uint64_t High = stableHash(Key) >> 32;
  return static_cast<std::uint32_t>((High * SlotCount) >> 32);
}

std::uint32_t firstKeyOfSlot(std::uint32_t Slot, std::uint32_t SlotCount,
                             std::uint32_t KeySpace) {
  return static_cast<std::uint32_t>(
      (std::uint64_t{Slot} * KeySpace + SlotCount - 1) / SlotCount);
}

} // namespace pomelo
