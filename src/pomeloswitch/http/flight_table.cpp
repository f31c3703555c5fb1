#include "pomeloswitch/http/flight_table.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {

flight_table::flight::flight(flight_table &Table, const std::string &Service,
                             std::uint32_t Slot, std::uint64_t Token)
    : Table(&Table), Key(Service, Slot, Token) {
  ++Table.Counts[Key];
}

flight_table::flight::~flight() {
  if (!Table)
    return;
  const auto Found = Table->Counts.find(Key);
  if (--Found->second == 0)
    Table->Counts.erase(Found);
}

flight_table::flight::flight(flight &&Other) noexcept
    : Table(std::exchange(Other.Table, nullptr)), Key(std::move(Other.Key)) {}

flight_table::flight &flight_table::flight::operator=(flight &&Other) noexcept {
  std::swap(Table, Other.Table);
  std::swap(Key, Other.Key);
  return *this;
}

std::uint64_t flight_table::quiescedIndex(const routing_view &View) const {
  std::uint64_t Quiesced = View.Index;
  for (const auto &[Key, Count] : Counts) {
    const auto &[Service, Number, Token] = Key;
    const routing_service *Found = View.findService(Service);
    if (!Found || !Found->Slots || Number >= Found->Slots->size())
      continue;
    const owned_slot &Slot = (*Found->Slots)[Number];
    if (Slot.Token == Token && Slot.Phase == slot_phase::Revoking)
      Quiesced = std::min(Quiesced, Slot.ChangedIndex - 1);
  }
  return Quiesced;
}

} // namespace pomelo
