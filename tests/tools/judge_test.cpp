#include "judge/measures.hpp"
#include "judge/violations.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace pomelo::judge {
namespace {

using caller::outcome;

constexpr std::int64_t Second = 1'000'000; // In microseconds.

execution makeExecution(const std::string &Id, const std::string &Target,
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

outcome makeAnswered(const std::string &Id, std::int64_t DueUs = 0) {
  outcome Outcome;
  Outcome.Request.Id = Id;
  Outcome.Request.Account = "large";
  Outcome.Request.Path = "/reports/k";
  Outcome.DueUs = DueUs;
  Outcome.Status = 200;
  Outcome.RunState = "ran";
  return Outcome;
}

outcome makeRefused(const std::string &Id, int Status, const std::string &Error,
                    std::int64_t DueUs = 0) {
  outcome Outcome = makeAnswered(Id, DueUs);
  Outcome.Status = Status;
  Outcome.Error = Error;
  Outcome.RunState = "not_run";
  return Outcome;
}

//! A run without violations: two consecutive requests on one slot, with a
//! planned ownership move between them.
struct recorded_run {
  journal Journal{
      {makeExecution("r1", "t1", 0), makeExecution("r2", "t2", 2000, 1, 6)}, 0};
  std::vector<outcome> Outcomes{makeAnswered("r1"), makeAnswered("r2")};
  std::map<std::string, account_rate> Rates{{"large", {1, 1}}};
  std::vector<drain> Drains;
};

struct violation_case {
  std::string Name; //!< The only expected finding; empty for none.
  void (*Change)(recorded_run &);
};

void PrintTo(const violation_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class violation : public testing::TestWithParam<violation_case> {};

TEST_P(violation, is_found_and_nothing_else) {
  recorded_run RecordedRun;
  GetParam().Change(RecordedRun);
  for (const finding &Finding :
       findViolations({RecordedRun.Journal, RecordedRun.Outcomes,
                       RecordedRun.Rates, RecordedRun.Drains}))
    EXPECT_EQ(Finding.Count, Finding.Name == GetParam().Name ? 1U : 0U)
        << Finding.Name;
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, violation,
    testing::Values(
        violation_case{"", [](recorded_run &) {}},
        violation_case{"owners_overlapping",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Journal.Executions[0].EndUs = 2500;
                       }},
        violation_case{"tokens_reversed",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Journal.Executions[1].Token = 4;
                       }},
        violation_case{"duplicate_executions",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Journal.Executions.push_back(
                             makeExecution("r2", "t2", 9000, 1, 6));
                       }},
        violation_case{"",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Journal.Executions.push_back(
                             makeExecution("r2", "t2", 9000, 1, 6));
                         RecordedRun.Outcomes[1].Request.Idempotent = true;
                       }},
        violation_case{"lost_acknowledged",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Outcomes.push_back(makeAnswered("r3"));
                       }},
        violation_case{"untrue_not_run",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Outcomes[1] =
                             makeRefused("r2", 503, "no_owner");
                       }},
        violation_case{"wrong_answers",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Outcomes[1].Mismatched = true;
                       }},
        violation_case{"work_after_drain",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Journal.Executions[1].StartUs = 4 * Second;
                         RecordedRun.Journal.Executions[1].EndUs = 4 * Second;
                         RecordedRun.Drains = {{{"t2"}, 0, 9 * Second}};
                       }},
        violation_case{"",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Journal.Executions[1].StartUs = 2 * Second;
                         RecordedRun.Journal.Executions[1].EndUs = 2 * Second;
                         RecordedRun.Drains = {{{"t2"}, 0, 9 * Second}};
                       }},
        violation_case{"foreign_account",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Outcomes[1].Request.Account = "small";
                       }},
        violation_case{"credential_at_target",
                       [](recorded_run &RecordedRun) {
                         RecordedRun.Journal.Executions[1].ReceivedCredential =
                             true;
                       }},
        violation_case{"over_rate",
                       [](recorded_run &RecordedRun) {
                         for (const char *Id : {"r3", "r4"}) {
                           RecordedRun.Journal.Executions.push_back(
                               makeExecution(Id, "t2", 4000, 1, 6));
                           RecordedRun.Outcomes.push_back(makeAnswered(Id));
                         }
                       }},
        violation_case{"connection_breaches", [](recorded_run &RecordedRun) {
                         RecordedRun.Journal.ConnectionBreaches = 1;
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
  EXPECT_TRUE(Journal.Executions[1].ReceivedCredential);
  EXPECT_TRUE(Journal.Executions[2].Cancelled);
}

TEST(measures, count_unavailable_time_from_first_failure_to_next_answer) {
  const std::vector<outcome> Outcomes{
      makeAnswered("r1", 0),
      makeRefused("r2", 503, "no_owner", 1 * Second),
      makeRefused("r3", 429, "rate_exceeded", 2 * Second),
      makeAnswered("r4", 3 * Second),
      makeRefused("r5", 0, "broken", 5 * Second),
      makeRefused("r6", 502, "outcome_unknown", 6 * Second)};
  const auto Time = measureUnavailableTime(Outcomes, {{"/reports/", 64}});
  EXPECT_DOUBLE_EQ(Time.LongestSeconds, 2);
  EXPECT_DOUBLE_EQ(Time.SumSeconds, 3);
  EXPECT_EQ(Time.Spans, 2U);
}

TEST(measures, count_only_refusals_that_one_bucket_had_room_for) {
  const std::vector<outcome> Outcomes{
      makeAnswered("r1", 0), makeRefused("r2", 429, "rate_exceeded", 1),
      makeRefused("r3", 429, "rate_exceeded", 2 * Second)};
  EXPECT_EQ(countRefusalsWithinRate(Outcomes, {{"large", {1, 1}}}), 1U);
}

TEST(measures, compare_the_busiest_target_with_the_mean_and_count_moves) {
  const journal Journal{
      {makeExecution("r1", "t1", 0), makeExecution("r2", "t2", 1),
       makeExecution("r3", "t2", 2), makeExecution("r4", "t2", 3)},
      0};
  EXPECT_DOUBLE_EQ(measureImbalance(Journal).at("archive"), 1.5);
  EXPECT_EQ(countMoves(Journal), 1U);
}

} // namespace
} // namespace pomelo::judge
