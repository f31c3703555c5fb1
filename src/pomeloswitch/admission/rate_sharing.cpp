#include "pomeloswitch/admission/rate_sharing.hpp"

#include <algorithm>
#include <numeric>

namespace pomelo {
namespace {

//! Returns the limit for single demands at which they add up to \p Rate.
double computeMaxShare(double Rate, std::span<const double> Demands) {
  std::vector<double> Sorted(Demands.begin(), Demands.end());
  std::sort(Sorted.begin(), Sorted.end());
  double RemainingRate = Rate;
  for (std::size_t Index = 0; Index < Sorted.size(); ++Index) {
    const double MaxShare =
        RemainingRate / static_cast<double>(Sorted.size() - Index);
    if (Sorted[Index] >= MaxShare)
      return MaxShare;
    RemainingRate -= Sorted[Index];
  }
  return Rate;
}

} // namespace

share_rule computeShareRule(double Rate, std::span<const double> Demands) {
  const double Total = std::accumulate(Demands.begin(), Demands.end(), 0.0);
  if (Total > Rate)
    return {1, computeMaxShare(Rate, Demands)};
  const double Factor =
      Total > 0 ? std::min(ShareHeadroom, Rate / Total) : ShareHeadroom;
  return {Factor, Rate};
}

std::vector<double> computeShares(double Rate,
                                  std::span<const double> Demands) {
  const share_rule Rule = computeShareRule(Rate, Demands);
  std::vector<double> Shares;
  for (const double Demand : Demands)
    Shares.push_back(Rule.computeShare(Demand));
  return Shares;
}

} // namespace pomelo
