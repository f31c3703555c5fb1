#include "pomeloswitch/clock/lease_clock.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

TEST(lease_clock, advances_like_steady_clock_while_the_machine_is_awake) {
  const auto SteadyBefore = steady_clock::now();
  const lease_time Before = lease_clock::now();
  while (steady_clock::now() - SteadyBefore < milliseconds(30))
    ;
  const auto Passed = lease_clock::now() - Before;
  EXPECT_GE(Passed, milliseconds(29));
  EXPECT_LT(Passed, steady_clock::now() - SteadyBefore + milliseconds(1));
}

TEST(lease_clock, converts_to_the_same_instant_of_steady_clock) {
  const auto Due = toSteady(lease_clock::now() + milliseconds(500));
  EXPECT_LE(Due, steady_clock::now() + milliseconds(500));
  EXPECT_GT(Due, steady_clock::now() + milliseconds(300));
}

} // namespace
} // namespace pomelo
