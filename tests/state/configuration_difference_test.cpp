//! A configuration is restored exactly from its difference.
#include "pomeloswitch/state/configuration_difference.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/state/cluster_state.hpp"
#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

wire::replace_configuration
configuration(std::uint64_t Number, unsigned KeySlots, unsigned TimeoutMs) {
  wire::replace_configuration Change;
  Change.set_number(Number);
  Change.set_inventory_json(testInventory(KeySlots));
  Change.set_rules_json(testRules(TimeoutMs));
  return Change;
}

cluster_state stateWith(const wire::replace_configuration &Change) {
  cluster_state State;
  wire::command Command;
  *Command.mutable_replace_configuration() = Change;
  State.apply(1, Command);
  return State;
}

struct row {
  const char *Name;
  wire::replace_configuration Before;
  wire::replace_configuration After;
};

class each_change : public testing::TestWithParam<row> {};

TEST_P(each_change, is_restored_from_its_difference) {
  const cluster_state State = stateWith(GetParam().Before);
  const auto Difference = differenceFrom(State, GetParam().After);
  EXPECT_TRUE(Difference.inventory_json().empty());
  EXPECT_EQ(restoreFrom(State, Difference).SerializeAsString(),
            GetParam().After.SerializeAsString());
}

TEST_P(each_change, is_not_restored_from_another_configuration) {
  const cluster_state State = stateWith(GetParam().Before);
  const auto Difference = differenceFrom(State, GetParam().After);
  const cluster_state Other = stateWith(configuration(7, 32, 500));
  EXPECT_THROW(std::ignore = restoreFrom(Other, Difference), pomelo_error);
}

TEST_P(each_change, is_not_restored_from_damaged_bytes) {
  const cluster_state State = stateWith(GetParam().Before);
  auto Difference = differenceFrom(State, GetParam().After);
  std::string &Bytes = *Difference.mutable_difference();
  Bytes.resize(Bytes.size() - 1);
  EXPECT_THROW(std::ignore = restoreFrom(State, Difference), pomelo_error);
}

INSTANTIATE_TEST_SUITE_P(
    changes, each_change,
    testing::Values(
        row{"first", {}, configuration(1, 64, 2000)},
        row{"idle", configuration(1, 64, 2000), configuration(2, 64, 2000)},
        row{"timeout", configuration(1, 64, 2000), configuration(2, 64, 2500)}),
    [](const auto &Info) { return std::string(Info.param.Name); });

TEST(configuration_difference, leaves_a_whole_configuration_as_it_is) {
  const auto Change = configuration(2, 64, 2000);
  EXPECT_EQ(restoreFrom(cluster_state(), Change).SerializeAsString(),
            Change.SerializeAsString());
}

} // namespace
} // namespace pomelo
