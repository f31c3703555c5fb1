#include "pomeloswitch/routing/target_statistics.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

class target_statistics_test : public testing::Test {
protected:
  void SetUp() override {
    Target.Member.TargetId = "t";
    Target.Member.Incarnation = 1;
    Target.Member.Slots = 2;
  }
  void roundTrip(send_outcome Outcome, milliseconds Latency) {
    Statistics.recordSend(Target, Now);
    Now += Latency;
    Statistics.recordOutcome(Target, Outcome, Latency, Now);
  }

  target_statistics::time_point Now{std::chrono::hours(1)};
  routing_target Target;
  target_statistics Statistics;
};

TEST_F(target_statistics_test, leaves_a_lost_target_for_a_pause_that_grows) {
  roundTrip(send_outcome::Lost, milliseconds(5));
  EXPECT_FALSE(Statistics.usable(Target, Now));
  EXPECT_TRUE(
      Statistics.usable(Target, Now + target_statistics_limits().LostBackoff));
  Now += target_statistics_limits().LostBackoff;
  roundTrip(send_outcome::Lost, milliseconds(5));
  EXPECT_FALSE(
      Statistics.usable(Target, Now + target_statistics_limits().LostBackoff));
  EXPECT_TRUE(Statistics.mayBeCold(Target, Now));
}

TEST_F(target_statistics_test,
       takes_a_target_that_answers_others_for_slow_not_silent) {
  Statistics.recordSend(Target, Now);
  roundTrip(send_outcome::Answered, milliseconds(100));
  Statistics.recordOutcome(Target, send_outcome::Silent, milliseconds(400),
                           Now);
  EXPECT_TRUE(Statistics.usable(Target, Now));
}

TEST_F(target_statistics_test, leaves_a_silent_target) {
  roundTrip(send_outcome::Silent, milliseconds(1000));
  EXPECT_FALSE(Statistics.usable(Target, Now));
}

TEST_F(target_statistics_test, narrows_the_window_while_requests_wait_there) {
  roundTrip(send_outcome::Answered, milliseconds(100));
  for (unsigned Answer = 0; Answer < 20; ++Answer)
    Statistics.recordLoad(Target, {2, 6, 2, 1}, Now);
  EXPECT_FALSE(Statistics.hasRoom(Target, Now));
  EXPECT_TRUE(Statistics.hasRoom(Target, Now + std::chrono::seconds(30)));
  EXPECT_GT(Statistics.expectedWait(Target, 3).count(), 0.5);
  EXPECT_GT(Statistics.untilNextSend(Target, Now).count(), 0.2);
  EXPECT_EQ(Statistics.untilNextSend(Target, Now, true).count(), 0);
  // The leader's bound on all hosts replaces a window below one.
  EXPECT_LT(Statistics.expectedWait(Target, 3, true).count(), 0.5);
  EXPECT_TRUE(Statistics.hasRoom(Target, Now, true));
  for (unsigned Answer = 0; Answer < 20; ++Answer)
    Statistics.recordLoad(Target, {1, 0, 2, 1}, Now);
  EXPECT_TRUE(Statistics.hasRoom(Target, Now));
}

TEST_F(target_statistics_test, sends_nothing_more_where_nothing_comes_back) {
  roundTrip(send_outcome::Answered, milliseconds(100));
  Statistics.recordSend(Target, Now);
  EXPECT_TRUE(Statistics.hasRoom(Target, Now));
  EXPECT_FALSE(Statistics.hasRoom(Target, Now + milliseconds(600)));
}

TEST_F(target_statistics_test, scores_loaded_slow_and_failing_targets_worse) {
  routing_target Other = Target;
  Other.Member.TargetId = "other";
  for (unsigned Request = 0; Request < 5; ++Request) {
    roundTrip(send_outcome::Answered, milliseconds(200));
    Statistics.recordSend(Other, Now);
    Statistics.recordOutcome(Other, send_outcome::Answered, milliseconds(100),
                             Now);
  }
  EXPECT_GT(Statistics.score(Target, Now), Statistics.score(Other, Now));
  Statistics.recordLoad(Other, {2, 8, 2, 3}, Now);
  EXPECT_LT(Statistics.score(Target, Now), Statistics.score(Other, Now));
}

TEST_F(target_statistics_test, averages_latencies_of_unqueued_answers) {
  Statistics.recordLoad(Target, {1, 3, 2, 1}, Now);
  roundTrip(send_outcome::Answered, milliseconds(900));
  EXPECT_TRUE(Statistics.unqueuedLatencies().empty());
  Statistics.recordLoad(Target, {1, 0, 2, 1}, Now);
  roundTrip(send_outcome::Answered, milliseconds(100));
  EXPECT_NEAR(Statistics.unqueuedLatencies().at("t"), 0.1, 0.001);
}

} // namespace
} // namespace pomelo
