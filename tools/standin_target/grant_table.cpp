#include "standin_target/grant_table.hpp"

#include <algorithm>

namespace pomelo::standin {

void grant_table::take(std::uint64_t Index,
                       std::map<std::uint32_t, std::uint64_t> NewGrants,
                       steady_time NewLeaseUntil) {
  if (Index < TakenIndex)
    return;
  TakenIndex = Index;
  Grants = std::move(NewGrants);
  LeaseUntil = std::max(LeaseUntil, NewLeaseUntil);
}

bool grant_table::allows(std::uint32_t Slot, std::uint64_t Token,
                         steady_time Now) const {
  const auto Found = Grants.find(Slot);
  return Now < LeaseUntil && Found != Grants.end() && Found->second == Token;
}

void grant_table::end(std::uint32_t Slot) {
  const auto Found = Running.find(Slot);
  if (--Found->second == 0)
    Running.erase(Found);
}

std::uint64_t grant_table::settledIndex() {
  const bool Settled =
      std::all_of(Running.begin(), Running.end(), [this](const auto &Entry) {
        return Grants.contains(Entry.first);
      });
  if (Settled)
    SettledIndex = TakenIndex;
  return SettledIndex;
}

} // namespace pomelo::standin
