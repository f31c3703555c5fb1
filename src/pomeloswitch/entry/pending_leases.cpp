#include "pomeloswitch/entry/pending_leases.hpp"

#include <algorithm>

namespace pomelo {

void pending_leases::add(std::uint64_t CommitIndex, lease_time Until,
                         lease_time Now) {
  while (!Leases.empty() && Leases.front().Until <= Now)
    Leases.pop_front();
  if (Until <= LatestEnd)
    return;
  LatestEnd = Until;
  LatestIndex = std::max(LatestIndex, CommitIndex);
  if (!Leases.empty() && Leases.back().CommitIndex == LatestIndex)
    Leases.back().Until = Until;
  else
    Leases.push_back({LatestIndex, Until});
}

std::optional<lease_time> pending_leases::take(std::uint64_t AppliedIndex) {
  std::optional<lease_time> Until;
  while (!Leases.empty() && Leases.front().CommitIndex <= AppliedIndex) {
    Until = Leases.front().Until;
    Leases.pop_front();
  }
  TakenUntil = Until.value_or(TakenUntil);
  return Until;
}

} // namespace pomelo
