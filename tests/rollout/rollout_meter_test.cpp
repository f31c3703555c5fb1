//! Sums of what the traffic threads of a host have counted.
#include "pomeloswitch/rollout/rollout_meter.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

struct sum_case {
  std::string Name;
  std::uint64_t FirstIndex;
  std::uint64_t SecondIndex;
  std::uint64_t StartedIndex;
  std::uint64_t Requests;
};

void PrintTo(const sum_case &Case, std::ostream *Out) { *Out << Case.Name; }

class outcomes_sum : public testing::TestWithParam<sum_case> {};

service_outcomes countedFor(std::uint64_t StartedIndex, unsigned Requests) {
  rollout_meter Meter;
  for (unsigned Number = 0; Number < Requests; ++Number)
    Meter.record("archive", StartedIndex,
                 {"reports", "t1", true, true, std::nullopt});
  return Meter.outcomes().at("archive");
}

// Guards against failures of an earlier version that count against a later one
// because a thread has not followed yet.
TEST_P(outcomes_sum, has_counts_of_one_rollout_only) {
  const sum_case &Case = GetParam();
  service_outcomes Sum;
  Sum += countedFor(Case.FirstIndex, 10);
  Sum += countedFor(Case.SecondIndex, 3);
  EXPECT_EQ(Sum.StartedIndex, Case.StartedIndex);
  EXPECT_EQ(Sum.Requests, Case.Requests);
  EXPECT_EQ(Sum.NewRequests, Case.Requests);
  EXPECT_EQ(Sum.Targets.at({"reports", "t1"}).Counts.Failures, Case.Requests);
}

INSTANTIATE_TEST_SUITE_P(
    table, outcomes_sum,
    testing::Values(sum_case{"same", 7, 7, 7, 13},
                    sum_case{"second_is_later", 7, 9, 9, 3},
                    sum_case{"second_is_earlier", 9, 7, 9, 10}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
