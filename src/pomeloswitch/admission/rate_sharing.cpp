#include "pomeloswitch/admission/rate_sharing.hpp"

#include <algorithm>
#include <numeric>

namespace pomelo {
namespace {

//! The level at which demands are cut off so that they add up to \p Rate.
double fairLevel(double Rate, std::span<const double> Demands) {
  std::vector<double> Sorted(Demands.begin(), Demands.end());
  std::sort(Sorted.begin(), Sorted.end());
  double Left = Rate;
  for (std::size_t Index = 0; Index < Sorted.size(); ++Index) {
    const double Level = Left / static_cast<double>(Sorted.size() - Index);
    if (Sorted[Index] >= Level)
      return Level;
    Left -= Sorted[Index];
  }
  return Rate;
}

} // namespace

share_rule ruleFor(double Rate, std::span<const double> Demands) {
  const double Total = std::accumulate(Demands.begin(), Demands.end(), 0.0);
  if (Total > Rate)
    return {1, fairLevel(Rate, Demands)};
  const double Factor =
      Total > 0 ? std::min(ShareHeadroom, Rate / Total) : ShareHeadroom;
  return {Factor, Rate};
}

std::vector<double> shareRate(double Rate, std::span<const double> Demands) {
  const share_rule Rule = ruleFor(Rate, Demands);
  std::vector<double> Shares;
  for (const double Demand : Demands)
    Shares.push_back(Rule.shareOf(Demand));
  return Shares;
}

} // namespace pomelo
