#include "pomeloswitch/retry/crash_detector.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace pomelo {
namespace {

using std::chrono::seconds;

const crash_detector::time_point LostAt{std::chrono::hours(1)};

//! A target as it was when it lost the connection, and a target that the view
//! has afterwards.
struct lost_target_case {
  std::string Name;
  std::string Id = "new";
  std::string Address = "10.0.0.1:80";
  std::string Service = "archive";
  std::uint64_t StartedMs = 2000;
  bool TakenOutBefore = false;
  bool Answered = false; //!< A request that was sent to it after the loss.
  bool Completed = false;
  seconds JoinsAfter{3};
  bool Confirmed = false;
};

void PrintTo(const lost_target_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

target_member member(const std::string &Id, const std::string &Address,
                     const std::string &Service, std::uint64_t StartedMs) {
  target_member Member;
  Member.TargetId = Id;
  Member.Address = Address;
  Member.Service = Service;
  Member.StartedMs = Member.Incarnation = StartedMs;
  return Member;
}

routing_view viewOf(const target_member &Member, bool TakenOut = false) {
  routing_view View;
  auto Target = std::make_shared<routing_target>();
  Target->Member = Member;
  Target->AcceptsNewWork = !TakenOut;
  View.Targets[Member.TargetId] = std::move(Target);
  return View;
}

class lost_target : public testing::TestWithParam<lost_target_case> {};

// Guards against requests that crash every target and are never recognised,
// since the targets come back under new ids (BUDGET, issue 37).
TEST_P(lost_target, has_crashed_if_its_service_starts_again_in_its_place) {
  const lost_target_case &Case = GetParam();
  const target_member Lost = member("old", "10.0.0.1:80", "archive", 1000);
  crash_detector Detector;
  Detector.add({"request", "old", 1000}, Lost, LostAt);
  Detector.add({"another", "old", 1000}, Lost, LostAt);
  const auto Before = viewOf(Lost, Case.TakenOutBefore);
  EXPECT_TRUE(Detector.takeConfirmedCrashes(Before, LostAt).empty());
  // The answer to a request that was sent before shows nothing.
  Detector.answered(Lost, LostAt);
  if (Case.Answered)
    Detector.answered(Lost, LostAt + seconds(1));
  if (Case.Completed)
    Detector.discard("request");
  const auto View =
      viewOf(member(Case.Id, Case.Address, Case.Service, Case.StartedMs));
  const auto Confirmed =
      Detector.takeConfirmedCrashes(View, LostAt + Case.JoinsAfter);
  const auto Named = [&Confirmed](const std::string &Fingerprint) {
    return std::any_of(
        Confirmed.begin(), Confirmed.end(), [&](const crash_report &Report) {
          return Report.Fingerprint == Fingerprint &&
                 Report.TargetId == "old" && Report.Incarnation == 1000;
        });
  };
  EXPECT_EQ(Named("request"), Case.Confirmed && !Case.Completed);
  EXPECT_EQ(Named("another"), Case.Confirmed);
  EXPECT_EQ(Detector.takeConfirmedCrashes(View, LostAt + seconds(5)).size(),
            0U);
}

INSTANTIATE_TEST_SUITE_P(
    table, lost_target,
    testing::Values(
        lost_target_case{.Name = "same_id", .Id = "old", .Confirmed = true},
        lost_target_case{.Name = "same_id_elsewhere",
                         .Id = "old",
                         .Address = "10.0.0.2:80",
                         .Confirmed = true},
        lost_target_case{.Name = "new_id", .Confirmed = true},
        lost_target_case{.Name = "new_id_after_another_completed_it",
                         .Completed = true,
                         .Confirmed = true},
        lost_target_case{.Name = "new_id_elsewhere", .Address = "10.0.0.2:80"},
        lost_target_case{.Name = "another_service", .Service = "intake"},
        lost_target_case{.Name = "an_earlier_start", .StartedMs = 900},
        lost_target_case{.Name = "a_planned_leave", .TakenOutBefore = true},
        lost_target_case{.Name = "same_id_after_a_planned_leave",
                         .Id = "old",
                         .TakenOutBefore = true},
        lost_target_case{.Name = "a_later_answer", .Answered = true},
        lost_target_case{.Name = "much_later", .JoinsAfter = seconds(11)}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
