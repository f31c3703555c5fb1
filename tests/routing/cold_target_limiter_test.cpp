#include "pomeloswitch/routing/cold_target_limiter.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

struct fleet_case {
  unsigned Hosts;
  double RatePerSecond;
};

class cold_target : public testing::TestWithParam<fleet_case> {};

//! All hosts send continuously. Together they must stay within the rate plus
//! the one request that the buckets may have saved; hosts whose share is below
//! one request/s must send nothing in the first second.
TEST_P(cold_target, limits_the_rate_of_all_hosts_together) {
  const auto [Hosts, Rate] = GetParam();
  std::vector<cold_target_limiter> Limiters(Hosts);
  std::vector<unsigned> Sent;
  cold_target_limiter::time_point Now{std::chrono::hours(1)};
  for (unsigned Second = 0; Second < 4; ++Second) {
    Sent.push_back(0);
    for (unsigned Step = 0; Step < 100; ++Step) {
      for (cold_target_limiter &Limiter : Limiters)
        Sent.back() += Limiter.admit("t", Rate / Hosts, true, Now) ? 1 : 0;
      Now += milliseconds(10);
    }
  }
  unsigned Total = 0;
  for (const unsigned InSecond : Sent)
    Total += InSecond;
  EXPECT_LE(Total, 4 * Rate + 1);
  EXPECT_EQ(Sent.front(), Rate >= Hosts ? Sent.front() : 0U);
}

INSTANTIATE_TEST_SUITE_P(each_fleet, cold_target,
                         testing::Values(fleet_case{1, 2.5},
                                         fleet_case{12, 2.5},
                                         fleet_case{11, 9.4}));

TEST(cold_target_limiter_check, consumes_no_token) {
  cold_target_limiter Limiter;
  cold_target_limiter::time_point Now{std::chrono::hours(1)};
  EXPECT_FALSE(Limiter.admit("t", 1, false, Now));
  Now += std::chrono::seconds(1);
  EXPECT_TRUE(Limiter.admit("t", 1, false, Now));
  EXPECT_TRUE(Limiter.admit("t", 1, true, Now));
  EXPECT_FALSE(Limiter.admit("t", 1, true, Now));
}

} // namespace
} // namespace pomelo
