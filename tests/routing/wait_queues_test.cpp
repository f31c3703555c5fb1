#include "pomeloswitch/routing/wait_queues.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace pomelo {
namespace {

TEST(wait_queues, puts_urgent_requests_first_and_then_those_whose_time_ends) {
  wait_queues WaitQueues;
  const wait_queues::time_point Soon{std::chrono::seconds(1)};
  const wait_queues::time_point Later{std::chrono::seconds(2)};
  const wait_queues::position Low(WaitQueues, "s", 2, Soon);
  auto High =
      std::make_unique<wait_queues::position>(WaitQueues, "s", 1, Later);
  const wait_queues::position LowLater(WaitQueues, "s", 2, Later);
  const wait_queues::position Elsewhere(WaitQueues, "other", 9, Later);
  EXPECT_EQ(High->requestsAhead(), 0U);
  EXPECT_EQ(Low.requestsAhead(), 1U);
  EXPECT_EQ(LowLater.requestsAhead(), 2U);
  EXPECT_EQ(Elsewhere.requestsAhead(), 0U);
  High.reset();
  EXPECT_EQ(Low.requestsAhead(), 0U);
}

} // namespace
} // namespace pomelo
