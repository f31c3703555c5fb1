//! Divides the rate of one account among entry hosts.
#ifndef POMELOSWITCH_ADMISSION_RATE_SHARING_HPP
#define POMELOSWITCH_ADMISSION_RATE_SHARING_HPP

#include <algorithm>
#include <span>
#include <vector>

namespace pomelo {

//! Factor above its demand that a host gets if the rate suffices.
inline constexpr double ShareHeadroom = 1.1;

//! Maps demands to shares: each demand is multiplied by Factor and limited to
//! MaxShare, requests/s.
struct share_rule {
  double Factor = 1;
  double MaxShare = 0;

  [[nodiscard]] double computeShare(double Demand) const {
    return std::min(Demand * Factor, MaxShare);
  }
};

share_rule computeShareRule(double Rate, std::span<const double> Demands);

//! Returns the max-min fair shares of \p Rate for \p Demands, in requests/s. If
//! the demands fit, all shares exceed their demand by the same factor, up to
//! ShareHeadroom. The shares never add up to more than \p Rate.
std::vector<double> computeShares(double Rate, std::span<const double> Demands);

} // namespace pomelo

#endif
