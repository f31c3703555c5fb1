#include "pomeloswitch/retry/retry_budget.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace pomelo {
namespace {

struct budget_case {
  std::size_t Hosts;
  unsigned Requests;
};

class retries : public testing::TestWithParam<budget_case> {};

TEST_P(retries, stay_within_the_bounds_of_all_hosts_together) {
  const auto [Hosts, Requests] = GetParam();
  const retry_limits Limits{0.2, 64};
  std::vector<retry_budget> Budgets(Hosts, retry_budget(Limits));
  unsigned Retries = 0;
  for (unsigned Request = 0; Request < Requests; ++Request) {
    retry_budget &Budget = Budgets[Request % Hosts];
    Budget.earn("s", Hosts);
    while (Budget.spend("s", Hosts))
      ++Retries;
  }
  EXPECT_LE(Retries, Limits.Ratio * Requests + Limits.Burst);
  EXPECT_GE(Retries, 1U);
}

INSTANTIATE_TEST_SUITE_P(each_number_of_hosts, retries,
                         testing::Values(budget_case{1, 1000},
                                         budget_case{12, 1000},
                                         budget_case{12, 100},
                                         budget_case{75, 5000}));

} // namespace
} // namespace pomelo
