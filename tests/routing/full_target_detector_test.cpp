#include "pomeloswitch/routing/full_target_detector.hpp"

#include "pomeloswitch/routing/target_statistics.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr full_target_detector::time_point Start{std::chrono::hours(1)};
constexpr target_pressure Full{9, 3, milliseconds(200)};

struct reset_case {
  std::string Name;
  target_pressure Pressure = Full;
  bool Learnt = true;       //!< By an earlier reset of the service.
  milliseconds Since{1000}; //!< Since that was learnt.
  bool CountsAsRefusal = false;
};

void PrintTo(const reset_case &Case, std::ostream *Out) { *Out << Case.Name; }

class reset_of_a_target : public testing::TestWithParam<reset_case> {};

// Guards against full targets that are avoided for seconds like crashed ones,
// and against crashes that pass for refusals.
TEST_P(reset_of_a_target, counts_as_a_refusal_only_if_it_was_full) {
  const reset_case &Case = GetParam();
  full_target_detector Detector;
  if (Case.Learnt) {
    EXPECT_FALSE(Detector.recordReset("s", "t1#1", Full, Start));
    Detector.recordAnswer("s", "t1#1", Start + milliseconds(1),
                          Start + milliseconds(100));
  }
  EXPECT_EQ(Detector.recordReset("s", "t2#1", Case.Pressure,
                                 Start + milliseconds(100) + Case.Since),
            Case.CountsAsRefusal);
}

INSTANTIATE_TEST_SUITE_P(
    table, reset_of_a_target,
    testing::Values(
        reset_case{.Name = "full", .CountsAsRefusal = true},
        reset_case{.Name = "full_but_never_seen_alive", .Learnt = false},
        reset_case{.Name = "idle", .Pressure = {0, 3, milliseconds(200)}},
        reset_case{.Name = "busy_without_a_queue",
                   .Pressure = {3, 3, milliseconds(200)}},
        reset_case{.Name = "old_report", .Pressure = {9, 3, seconds(2)}},
        reset_case{.Name = "learnt_long_ago", .Since = seconds(61)}),
    [](const auto &Info) { return Info.param.Name; });

TEST(full_target_detector, learns_nothing_from_answers_to_earlier_requests) {
  full_target_detector Detector;
  EXPECT_FALSE(Detector.recordReset("s", "t1#1", Full, Start));
  Detector.recordAnswer("s", "t1#1", Start - milliseconds(1),
                        Start + milliseconds(100));
  EXPECT_FALSE(Detector.resetsWhenFull("s", Start + milliseconds(100)));
}

//! A target whose requests end in turn: refused when the queue is full, as some
//! targets of the service do by a reset.
routing_target makeTarget(const std::string &Id) {
  routing_target Target;
  Target.Member.TargetId = Id;
  Target.Member.Incarnation = 1;
  Target.Member.Service = "s";
  Target.Member.Slots = 3;
  return Target;
}

// Guards against a full target that is suspected to be cold, and gets nothing
// for seconds while its queue is long empty.
TEST(target_statistics, use_a_full_target_again_at_once) {
  target_statistics Statistics;
  const routing_target Target = makeTarget("t1");
  auto Now = Start;
  const auto LoseConnection = [&] {
    Statistics.recordLoad(Target, {3, 6, 3, 1}, Now);
    Statistics.recordSend(Target, Now);
    Statistics.recordOutcome(Target, send_outcome::Lost, milliseconds(1), Now);
  };
  LoseConnection();
  EXPECT_TRUE(Statistics.mayBeCold(Target, Now + milliseconds(10)));
  Now += seconds(5);
  Statistics.recordSend(Target, Now);
  Now += milliseconds(100);
  Statistics.recordOutcome(Target, send_outcome::Answered, milliseconds(100),
                           Now);
  LoseConnection();
  EXPECT_FALSE(Statistics.mayBeCold(Target, Now + milliseconds(10)));
  EXPECT_TRUE(Statistics.usable(Target, Now + milliseconds(200)));
}

} // namespace
} // namespace pomelo
