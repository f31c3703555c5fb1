#include "pomeloswitch/http/flight_table.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

//! How late a target's clock may see a deadline pass.
constexpr std::chrono::milliseconds TargetClockMargin{100};

} // namespace

flight_table::flight::flight(flight_table &Table, const std::string &Service,
                             std::uint32_t Slot, std::uint64_t Token,
                             flight_end End)
    : Table(&Table), Key(Service, Slot, Token), End(End) {
  ++Table.Counts[Key];
}

flight_table::flight::~flight() {
  if (!Table)
    return;
  if (End.NeedsAnswer)
    Table->Unanswered.emplace(End.Deadline + TargetClockMargin, Key);
  else
    Table->leave(Key);
}

flight_table::flight::flight(flight &&Other) noexcept
    : Table(std::exchange(Other.Table, nullptr)), Key(std::move(Other.Key)),
      End(Other.End) {}

flight_table::flight &flight_table::flight::operator=(flight &&Other) noexcept {
  std::swap(Table, Other.Table);
  std::swap(Key, Other.Key);
  std::swap(End, Other.End);
  return *this;
}

void flight_table::leave(const flight::key &Key) {
  const auto Found = Counts.find(Key);
  if (--Found->second == 0)
    Counts.erase(Found);
}

std::uint64_t flight_table::quiescedIndex(const routing_view &View,
                                          steady_time Now) {
  while (!Unanswered.empty() && Unanswered.begin()->first <= Now) {
    leave(Unanswered.begin()->second);
    Unanswered.erase(Unanswered.begin());
  }
  std::uint64_t Quiesced = View.Index;
  for (const auto &[Key, Count] : Counts) {
    const auto &[Service, Number, Token] = Key;
    const routing_service *Found = View.findService(Service);
    if (!Found || !Found->Slots || Number >= Found->Slots->size())
      continue;
    const slot_ownership &Slot = (*Found->Slots)[Number];
    if (Slot.Token == Token && Slot.Phase == slot_phase::Revoking)
      Quiesced = std::min(Quiesced, Slot.ChangedIndex - 1);
  }
  return Quiesced;
}

} // namespace pomelo
