#include "pomeloswitch/routing/target_book.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

class target_booking : public testing::Test {
protected:
  void SetUp() override {
    Target.Member.TargetId = "t";
    Target.Member.Incarnation = 1;
    Target.Member.Slots = 2;
  }
  void roundTrip(send_end How, milliseconds Took) {
    Book.sent(Target, Now);
    Now += Took;
    Book.ended(Target, How, Took, Now);
  }

  target_book::time_point Now{std::chrono::hours(1)};
  routing_target Target;
  target_book Book;
};

TEST_F(target_booking, leaves_a_lost_target_for_a_pause_that_grows) {
  roundTrip(send_end::Lost, milliseconds(5));
  EXPECT_FALSE(Book.usable(Target, Now));
  EXPECT_TRUE(Book.usable(Target, Now + book_limits().LostPause));
  Now += book_limits().LostPause;
  roundTrip(send_end::Lost, milliseconds(5));
  EXPECT_FALSE(Book.usable(Target, Now + book_limits().LostPause));
  EXPECT_TRUE(Book.doubtfullyWarm(Target, Now));
}

TEST_F(target_booking, takes_a_target_that_answers_others_for_slow_not_silent) {
  Book.sent(Target, Now);
  roundTrip(send_end::Answered, milliseconds(100));
  Book.ended(Target, send_end::Silent, milliseconds(400), Now);
  EXPECT_TRUE(Book.usable(Target, Now));
}

TEST_F(target_booking, leaves_a_silent_target) {
  roundTrip(send_end::Silent, milliseconds(1000));
  EXPECT_FALSE(Book.usable(Target, Now));
}

TEST_F(target_booking, narrows_the_window_while_requests_wait_there) {
  roundTrip(send_end::Answered, milliseconds(100));
  for (unsigned Answer = 0; Answer < 20; ++Answer)
    Book.told(Target, {2, 6, 2, 1}, Now);
  EXPECT_FALSE(Book.hasRoom(Target, Now));
  EXPECT_TRUE(Book.hasRoom(Target, Now + std::chrono::seconds(30)));
  EXPECT_GT(Book.expectedWait(Target, 3).count(), 0.5);
  for (unsigned Answer = 0; Answer < 20; ++Answer)
    Book.told(Target, {1, 0, 2, 1}, Now);
  EXPECT_TRUE(Book.hasRoom(Target, Now));
}

TEST_F(target_booking, sends_nothing_more_where_nothing_comes_back) {
  roundTrip(send_end::Answered, milliseconds(100));
  Book.sent(Target, Now);
  EXPECT_TRUE(Book.hasRoom(Target, Now));
  EXPECT_FALSE(Book.hasRoom(Target, Now + milliseconds(600)));
}

TEST_F(target_booking, scores_loaded_slow_and_failing_targets_worse) {
  routing_target Other = Target;
  Other.Member.TargetId = "other";
  for (unsigned Request = 0; Request < 5; ++Request) {
    roundTrip(send_end::Answered, milliseconds(200));
    Book.sent(Other, Now);
    Book.ended(Other, send_end::Answered, milliseconds(100), Now);
  }
  EXPECT_GT(Book.score(Target, Now), Book.score(Other, Now));
  Book.told(Other, {2, 8, 2, 3}, Now);
  EXPECT_LT(Book.score(Target, Now), Book.score(Other, Now));
}

TEST_F(target_booking, tells_speeds_of_answers_that_did_not_wait) {
  Book.told(Target, {1, 3, 2, 1}, Now);
  roundTrip(send_end::Answered, milliseconds(900));
  EXPECT_TRUE(Book.speeds().empty());
  Book.told(Target, {1, 0, 2, 1}, Now);
  roundTrip(send_end::Answered, milliseconds(100));
  EXPECT_NEAR(Book.speeds().at("t"), 0.1, 0.001);
}

} // namespace
} // namespace pomelo
