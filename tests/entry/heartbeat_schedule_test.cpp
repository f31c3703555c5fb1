#include "pomeloswitch/entry/heartbeat_schedule.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <string>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using time_point = heartbeat_schedule::time_point;

constexpr time_point Start{std::chrono::hours(1)};
constexpr milliseconds Step{5};
constexpr milliseconds Duration{10000};

//! How a leader answers a host that wants a heartbeat all the time.
struct answer_case {
  std::string Name;
  std::size_t Hosts;
  milliseconds Delay;
  milliseconds Interval; //!< Expected between two heartbeats.
};

void PrintTo(const answer_case &Case, std::ostream *Out) { *Out << Case.Name; }

class wanted_heartbeats : public testing::TestWithParam<answer_case> {};

TEST_P(wanted_heartbeats, do_not_flood_the_leader) {
  heartbeat_schedule Schedule;
  Schedule.setHostCount(GetParam().Hosts);
  std::deque<std::pair<std::uint64_t, time_point>> Answers;
  std::uint64_t Sent = 0;
  for (time_point Now = Start; Now < Start + Duration; Now += Step) {
    for (; !Answers.empty() && Answers.front().second <= Now;
         Answers.pop_front())
      Schedule.answered(Answers.front().first, Now);
    Schedule.want(Now);
    if (Schedule.due() > Now)
      continue;
    Schedule.sent(++Sent, Now);
    Answers.emplace_back(Sent, Now + GetParam().Delay);
  }
  const auto Expected = Duration / GetParam().Interval;
  EXPECT_NEAR(static_cast<double>(Sent), static_cast<double>(Expected),
              0.1 * static_cast<double>(Expected));
}

INSTANTIATE_TEST_SUITE_P(
    each_leader, wanted_heartbeats,
    testing::Values(
        answer_case{"few_hosts", 6, milliseconds(2), milliseconds(10)},
        answer_case{"many_hosts", 100, milliseconds(2), milliseconds(100)},
        answer_case{"slow", 100, milliseconds(150), milliseconds(155)},
        answer_case{"overloaded", 100, milliseconds(1500), milliseconds(200)}));

TEST(heartbeat_schedule, sends_a_wanted_heartbeat_ahead_of_the_regular_one) {
  heartbeat_schedule Schedule;
  Schedule.sent(1, Start);
  Schedule.answered(1, Start + milliseconds(2));
  EXPECT_EQ(Schedule.due(), Start + heartbeat_times().Regular);
  Schedule.want(Start + milliseconds(120));
  EXPECT_EQ(Schedule.due(),
            Start + milliseconds(120) + heartbeat_times().PromptDelay);
}

TEST(heartbeat_schedule, sends_what_was_wanted_once_the_leader_has_answered) {
  heartbeat_schedule Schedule;
  Schedule.sent(1, Start);
  Schedule.answered(1, Start + milliseconds(2));
  Schedule.sent(2, Start + milliseconds(200));
  Schedule.want(Start + milliseconds(210));
  EXPECT_EQ(Schedule.due(), Start + milliseconds(400));
  Schedule.answered(2, Start + milliseconds(350));
  EXPECT_EQ(Schedule.due(),
            Start + milliseconds(350) + heartbeat_times().PromptDelay);
}

TEST(heartbeat_schedule, counts_a_silent_leader_as_lost) {
  heartbeat_schedule Schedule;
  EXPECT_FALSE(Schedule.leaderKnown(Start));
  Schedule.sent(1, Start);
  Schedule.answered(1, Start);
  EXPECT_TRUE(Schedule.leaderKnown(Start + milliseconds(399)));
  EXPECT_FALSE(Schedule.leaderKnown(Start + milliseconds(400)));
}

} // namespace
} // namespace pomelo
