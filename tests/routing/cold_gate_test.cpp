#include "pomeloswitch/routing/cold_gate.hpp"

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

//! All hosts ask without pause; what they send together in any second stays
//! within the rate and the requests that their parts had saved.
TEST_P(cold_target, bears_what_all_hosts_send_together) {
  const auto [Hosts, Rate] = GetParam();
  std::vector<cold_gate> Gates(Hosts);
  std::vector<unsigned> Sent;
  cold_gate::time_point Now{std::chrono::hours(1)};
  for (unsigned Second = 0; Second < 4; ++Second) {
    Sent.push_back(0);
    for (unsigned Step = 0; Step < 100; ++Step) {
      for (cold_gate &Gate : Gates)
        Sent.back() += Gate.admit("t", Rate / Hosts, true, Now) ? 1 : 0;
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

TEST(cold_gate_look, takes_nothing) {
  cold_gate Gate;
  cold_gate::time_point Now{std::chrono::hours(1)};
  EXPECT_FALSE(Gate.admit("t", 1, false, Now));
  Now += std::chrono::seconds(1);
  EXPECT_TRUE(Gate.admit("t", 1, false, Now));
  EXPECT_TRUE(Gate.admit("t", 1, true, Now));
  EXPECT_FALSE(Gate.admit("t", 1, true, Now));
}

} // namespace
} // namespace pomelo
