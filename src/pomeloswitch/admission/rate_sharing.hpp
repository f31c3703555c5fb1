//! Dividing one account's rate among entry hosts.
#ifndef POMELOSWITCH_ADMISSION_RATE_SHARING_HPP
#define POMELOSWITCH_ADMISSION_RATE_SHARING_HPP

#include <span>
#include <vector>

namespace pomelo {

//! Room above its demand that a host gets where the rate suffices.
inline constexpr double ShareHeadroom = 1.1;

//! Max-min fair shares of \p Rate for \p Demands, in requests per second.
//! Where the demands fit, all get the same factor above theirs, up to
//! ShareHeadroom. The shares never add up to more than \p Rate.
std::vector<double> shareRate(double Rate, std::span<const double> Demands);

} // namespace pomelo

#endif
