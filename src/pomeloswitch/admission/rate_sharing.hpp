//! Dividing one account's rate among entry hosts.
#ifndef POMELOSWITCH_ADMISSION_RATE_SHARING_HPP
#define POMELOSWITCH_ADMISSION_RATE_SHARING_HPP

#include <algorithm>
#include <span>
#include <vector>

namespace pomelo {

//! Room above its demand that a host gets where the rate suffices.
inline constexpr double ShareHeadroom = 1.1;

//! How demands are turned into shares: each is multiplied by Factor and cut off
//! at Level, requests/s.
struct share_rule {
  double Factor = 1;
  double Level = 0;

  [[nodiscard]] double shareOf(double Demand) const {
    return std::min(Demand * Factor, Level);
  }
};

share_rule ruleFor(double Rate, std::span<const double> Demands);

//! Max-min fair shares of \p Rate for \p Demands, in requests per second.
//! Where the demands fit, all get the same factor above theirs, up to
//! ShareHeadroom. The shares never add up to more than \p Rate.
std::vector<double> shareRate(double Rate, std::span<const double> Demands);

} // namespace pomelo

#endif
