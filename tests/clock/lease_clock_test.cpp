#include "pomeloswitch/clock/lease_clock.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

TEST(lease_clock, runs_as_the_steady_clock_does_on_a_machine_that_is_awake) {
  const auto SteadyBefore = steady_clock::now();
  const lease_time Before = lease_clock::now();
  while (steady_clock::now() - SteadyBefore < milliseconds(30))
    ;
  const auto Passed = lease_clock::now() - Before;
  EXPECT_GE(Passed, milliseconds(29));
  EXPECT_LT(Passed, steady_clock::now() - SteadyBefore + milliseconds(1));
}

TEST(lease_clock, names_the_same_moment_by_the_steady_clock) {
  const auto Due = toSteady(lease_clock::now() + milliseconds(500));
  EXPECT_LE(Due, steady_clock::now() + milliseconds(500));
  EXPECT_GT(Due, steady_clock::now() + milliseconds(300));
}

} // namespace
} // namespace pomelo
