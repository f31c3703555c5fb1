#include "pomeloswitch/admission/rate_sharing.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

struct sharing_case {
  std::string Name;
  std::vector<double> Demands;
  std::vector<double> Shares;
};

void PrintTo(const sharing_case &Case, std::ostream *Out) { *Out << Case.Name; }

class rate_sharing : public testing::TestWithParam<sharing_case> {};

TEST_P(rate_sharing, shares_are_max_min_fair) {
  const std::vector<double> Shares = computeShares(100, GetParam().Demands);
  ASSERT_EQ(Shares.size(), GetParam().Shares.size());
  for (std::size_t Index = 0; Index < Shares.size(); ++Index)
    EXPECT_NEAR(Shares[Index], GetParam().Shares[Index], 1e-9);
}

INSTANTIATE_TEST_SUITE_P(
    each_load, rate_sharing,
    testing::Values(sharing_case{"no_host", {}, {}},
                    sharing_case{"no_demand", {0, 0}, {0, 0}},
                    sharing_case{"light", {10, 20}, {11, 22}},
                    sharing_case{
                        "near_the_rate", {80, 16}, {100 / 1.2, 100 / 6.0}},
                    sharing_case{"small_one_is_whole", {10, 300}, {10, 90}},
                    sharing_case{"all_above", {300, 300}, {50, 50}}));

} // namespace
} // namespace pomelo
