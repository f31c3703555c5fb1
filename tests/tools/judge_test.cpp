#include "judge/measures.hpp"
#include "judge/violations.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace pomelo::judge {
namespace {

using caller::outcome;

constexpr std::int64_t Second = 1'000'000; // In microseconds.

execution ran(const std::string &Id, const std::string &Target,
              std::int64_t StartUs, std::uint32_t Slot = 1,
              std::uint64_t Token = 5) {
  execution Execution;
  Execution.Target = Target;
  Execution.Service = "archive";
  Execution.RequestId = Id;
  Execution.Account = "large";
  Execution.Slot = Slot;
  Execution.Token = Token;
  Execution.StartUs = StartUs;
  Execution.EndUs = StartUs + 1000;
  Execution.Ended = true;
  return Execution;
}

outcome answered(const std::string &Id, std::int64_t DueUs = 0) {
  outcome Outcome;
  Outcome.Request.Id = Id;
  Outcome.Request.Account = "large";
  Outcome.Request.Path = "/reports/k";
  Outcome.DueUs = DueUs;
  Outcome.Status = 200;
  Outcome.RunState = "ran";
  return Outcome;
}

outcome refused(const std::string &Id, int Status, const std::string &Error,
                std::int64_t DueUs = 0) {
  outcome Outcome = answered(Id, DueUs);
  Outcome.Status = Status;
  Outcome.Error = Error;
  Outcome.RunState = "not_run";
  return Outcome;
}

//! Two requests on one slot, one after the other, with a planned move between.
struct story {
  journal Journal{{ran("r1", "t1", 0), ran("r2", "t2", 2000, 1, 6)}, 0};
  std::vector<outcome> Outcomes{answered("r1"), answered("r2")};
  std::map<std::string, account_rate> Rates{{"large", {1, 1}}};
  std::vector<drain> Drains;
};

struct violation_case {
  std::string Name; //!< The finding that is expected; the only one.
  void (*Change)(story &);
};

void PrintTo(const violation_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class violation : public testing::TestWithParam<violation_case> {};

TEST_P(violation, is_found_and_nothing_else) {
  story Story;
  GetParam().Change(Story);
  for (const finding &Finding : findViolations(
           {Story.Journal, Story.Outcomes, Story.Rates, Story.Drains}))
    EXPECT_EQ(Finding.Count, Finding.Name == GetParam().Name ? 1U : 0U)
        << Finding.Name;
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, violation,
    testing::Values(
        violation_case{"", [](story &) {}},
        violation_case{
            "owners_overlapping",
            [](story &Story) { Story.Journal.Executions[0].EndUs = 2500; }},
        violation_case{
            "tokens_reversed",
            [](story &Story) { Story.Journal.Executions[1].Token = 4; }},
        violation_case{"duplicate_executions",
                       [](story &Story) {
                         Story.Journal.Executions.push_back(
                             ran("r2", "t2", 9000, 1, 6));
                       }},
        violation_case{"",
                       [](story &Story) {
                         Story.Journal.Executions.push_back(
                             ran("r2", "t2", 9000, 1, 6));
                         Story.Outcomes[1].Request.Idempotent = true;
                       }},
        violation_case{
            "lost_acknowledged",
            [](story &Story) { Story.Outcomes.push_back(answered("r3")); }},
        violation_case{"untrue_not_run",
                       [](story &Story) {
                         Story.Outcomes[1] = refused("r2", 503, "no_owner");
                       }},
        violation_case{
            "wrong_answers",
            [](story &Story) { Story.Outcomes[1].Mismatched = true; }},
        violation_case{"work_after_drain",
                       [](story &Story) {
                         Story.Journal.Executions[1].StartUs = 4 * Second;
                         Story.Journal.Executions[1].EndUs = 4 * Second;
                         Story.Drains = {{{"t2"}, 0, 9 * Second}};
                       }},
        violation_case{"",
                       [](story &Story) {
                         Story.Journal.Executions[1].StartUs = 2 * Second;
                         Story.Journal.Executions[1].EndUs = 2 * Second;
                         Story.Drains = {{{"t2"}, 0, 9 * Second}};
                       }},
        violation_case{
            "foreign_account",
            [](story &Story) { Story.Outcomes[1].Request.Account = "small"; }},
        violation_case{"credential_at_target",
                       [](story &Story) {
                         Story.Journal.Executions[1].SawCredential = true;
                       }},
        violation_case{"over_rate",
                       [](story &Story) {
                         for (const char *Id : {"r3", "r4"}) {
                           Story.Journal.Executions.push_back(
                               ran(Id, "t2", 4000, 1, 6));
                           Story.Outcomes.push_back(answered(Id));
                         }
                       }},
        violation_case{"connection_breaches", [](story &Story) {
                         Story.Journal.ConnectionBreaches = 1;
                       }}));

TEST(journal, pairs_events_and_ends_what_a_dead_process_left_open) {
  std::istringstream In(
      R"({"event":"process_start","target":"t","service":"s","time_us":1}
{"event":"start","target":"t","execution":1,"request_id":"a","slot":"3","token":"9","account":"x","path":"/p","authorization":false,"time_us":10}
{"event":"start","target":"t","execution":2,"request_id":"b","slot":"","token":"","account":"x","path":"/p","authorization":true,"time_us":11}
{"event":"end","target":"t","execution":1,"time_us":20}
{"event":"process_start","target":"t","service":"s","time_us":90}
{"event":"start","target":"t","execution":1,"request_id":"c","slot":"3","token":"9","account":"x","path":"/p","authorization":false,"time_us":95}
{"event":"cancelled","target":"t","execution":1,"time_us":96}
{"event":"sta)");
  journal Journal;
  Journal.read(In);
  ASSERT_EQ(Journal.Executions.size(), 3U);
  EXPECT_EQ(Journal.Executions[0].EndUs, 20);
  EXPECT_EQ(Journal.Executions[0].Slot, 3U);
  EXPECT_TRUE(Journal.Executions[0].Ended);
  EXPECT_FALSE(Journal.Executions[1].Ended);
  EXPECT_EQ(Journal.Executions[1].EndUs, 20);
  EXPECT_FALSE(Journal.Executions[1].Slot);
  EXPECT_TRUE(Journal.Executions[1].SawCredential);
  EXPECT_TRUE(Journal.Executions[2].Cancelled);
}

TEST(measures, count_unavailable_time_from_first_failure_to_next_answer) {
  const std::vector<outcome> Outcomes{
      answered("r1", 0),
      refused("r2", 503, "no_owner", 1 * Second),
      refused("r3", 429, "rate_exceeded", 2 * Second),
      answered("r4", 3 * Second),
      refused("r5", 0, "broken", 5 * Second),
      refused("r6", 502, "outcome_unknown", 6 * Second)};
  const auto Time = measureUnavailable(Outcomes, {{"/reports/", 64}});
  EXPECT_DOUBLE_EQ(Time.LongestSeconds, 2);
  EXPECT_DOUBLE_EQ(Time.SumSeconds, 3);
  EXPECT_EQ(Time.Spans, 2U);
}

TEST(measures, count_only_refusals_that_one_bucket_had_room_for) {
  const std::vector<outcome> Outcomes{
      answered("r1", 0), refused("r2", 429, "rate_exceeded", 1),
      refused("r3", 429, "rate_exceeded", 2 * Second)};
  EXPECT_EQ(countWrongfulRefusals(Outcomes, {{"large", {1, 1}}}), 1U);
}

TEST(measures, compare_the_busiest_target_with_the_mean_and_count_moves) {
  const journal Journal{{ran("r1", "t1", 0), ran("r2", "t2", 1),
                         ran("r3", "t2", 2), ran("r4", "t2", 3)},
                        0};
  EXPECT_DOUBLE_EQ(measureImbalance(Journal).at("archive"), 1.5);
  EXPECT_EQ(countMoves(Journal), 1U);
}

} // namespace
} // namespace pomelo::judge
