#include "pomeloswitch/http/in_flight_table.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

//! Tolerance for a target's clock that lags behind this host's clock.
constexpr std::chrono::milliseconds TargetClockTolerance{100};

} // namespace

in_flight_table::in_flight_request::in_flight_request(
    in_flight_table &Table, const std::string &Service, std::uint32_t Slot,
    std::uint64_t Token, completion_condition End)
    : Table(&Table), Key(Service, Slot, Token), End(End) {
  ++Table.Counts[Key];
}

in_flight_table::in_flight_request::~in_flight_request() {
  if (!Table)
    return;
  if (End.NeedsResponse)
    Table->AwaitingDeadline.emplace(End.Deadline + TargetClockTolerance, Key);
  else
    Table->remove(Key);
}

in_flight_table::in_flight_request::in_flight_request(
    in_flight_request &&Other) noexcept
    : Table(std::exchange(Other.Table, nullptr)), Key(std::move(Other.Key)),
      End(Other.End) {}

in_flight_table::in_flight_request &
in_flight_table::in_flight_request::operator=(
    in_flight_request &&Other) noexcept {
  std::swap(Table, Other.Table);
  std::swap(Key, Other.Key);
  std::swap(End, Other.End);
  return *this;
}

void in_flight_table::remove(const in_flight_request::key &Key) {
  const auto Found = Counts.find(Key);
  if (--Found->second == 0)
    Counts.erase(Found);
}

std::uint64_t in_flight_table::quiescedIndex(const routing_view &View,
                                             steady_time Now) {
  while (!AwaitingDeadline.empty() && AwaitingDeadline.begin()->first <= Now) {
    remove(AwaitingDeadline.begin()->second);
    AwaitingDeadline.erase(AwaitingDeadline.begin());
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
