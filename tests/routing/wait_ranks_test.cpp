#include "pomeloswitch/routing/wait_ranks.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace pomelo {
namespace {

TEST(wait_ranks, puts_urgent_requests_first_and_then_those_whose_time_ends) {
  wait_ranks Ranks;
  const wait_ranks::time_point Soon{std::chrono::seconds(1)};
  const wait_ranks::time_point Later{std::chrono::seconds(2)};
  const wait_ranks::place Low(Ranks, "s", 2, Soon);
  auto High = std::make_unique<wait_ranks::place>(Ranks, "s", 1, Later);
  const wait_ranks::place LowLater(Ranks, "s", 2, Later);
  const wait_ranks::place Elsewhere(Ranks, "other", 9, Later);
  EXPECT_EQ(High->ahead(), 0U);
  EXPECT_EQ(Low.ahead(), 1U);
  EXPECT_EQ(LowLater.ahead(), 2U);
  EXPECT_EQ(Elsewhere.ahead(), 0U);
  High.reset();
  EXPECT_EQ(Low.ahead(), 0U);
}

} // namespace
} // namespace pomelo
