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

std::vector<double> shareRate(double Rate, std::span<const double> Demands) {
  std::vector<double> Shares(Demands.begin(), Demands.end());
  const double Total = std::accumulate(Shares.begin(), Shares.end(), 0.0);
  if (Total <= 0)
    return Shares;
  if (Total <= Rate) {
    const double Factor = std::min(ShareHeadroom, Rate / Total);
    for (double &Share : Shares)
      Share *= Factor;
    return Shares;
  }
  const double Level = fairLevel(Rate, Demands);
  for (double &Share : Shares)
    Share = std::min(Share, Level);
  return Shares;
}

} // namespace pomelo
