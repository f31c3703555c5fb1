#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>

namespace pomelo {
namespace {

test_cluster clusterWithTargets() {
  test_cluster Cluster;
  Cluster.setInventory(testInventory(4));
  Cluster.setRules(testRules(2000));
  Cluster.joinTarget(testTarget("t1", 10, true, 4001));
  Cluster.joinTarget(testTarget("t2", 10, false, 4002));
  return Cluster;
}

wire::command grant(unsigned Slot, const std::string &Target,
                    std::uint64_t SinceIndex) {
  wire::command Command;
  Command.mutable_grant_slots()->set_service("archive");
  auto *Grant = Command.mutable_grant_slots()->add_grants();
  Grant->set_slot(Slot);
  Grant->set_target_id(Target);
  Grant->set_since_index(SinceIndex);
  return Command;
}

struct join_case {
  std::string Name;
  target_member Announced;
  bool Joins;
};

void PrintTo(const join_case &Case, std::ostream *Out) { *Out << Case.Name; }

class announced_target : public testing::TestWithParam<join_case> {};

TEST_P(announced_target, joins_only_if_newer_and_at_a_free_address) {
  test_cluster Cluster = clusterWithTargets();
  const join_case &Case = GetParam();
  EXPECT_EQ(Cluster.State.mayJoin(Case.Announced), Case.Joins);
  Cluster.joinTarget(Case.Announced);
  const auto Found = Cluster.State.targets().find(Case.Announced.TargetId);
  const bool Joined = Found != Cluster.State.targets().end() &&
                      Found->second.Incarnation == Case.Announced.Incarnation &&
                      Found->second.Address == Case.Announced.Address;
  EXPECT_EQ(Joined, Case.Joins);
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, announced_target,
    testing::Values(
        join_case{"new_id", testTarget("t3", 1, true, 4003), true},
        join_case{"restarted", testTarget("t1", 11, true, 4001), true},
        join_case{"restarted_elsewhere", testTarget("t1", 11, true, 4009),
                  true},
        join_case{"older_incarnation", testTarget("t1", 9, true, 4009), false},
        join_case{"same_incarnation_elsewhere",
                  testTarget("t1", 10, true, 4009), false},
        join_case{"address_of_another", testTarget("t3", 99, true, 4002),
                  false}));

TEST(cluster_state, bounds_the_targets_of_a_service) {
  test_cluster Cluster;
  Cluster.setInventory(testInventory(4));
  for (unsigned Number = 0; Number <= MaxTargetsPerService; ++Number)
    Cluster.joinTarget(
        testTarget(fmt::format("t{}", Number), 1, true, 1000 + Number));
  EXPECT_EQ(Cluster.State.targets().size(), MaxTargetsPerService);
}

TEST(cluster_state, ignores_a_grant_planned_for_an_earlier_slot_state) {
  test_cluster Cluster = clusterWithTargets();
  Cluster.apply(grant(0, "t1", 0));
  ASSERT_EQ(Cluster.slot(0).Owner, "t1");
  const std::uint64_t Granted = Cluster.slot(0).ChangedIndex;
  Cluster.loseTarget("t1", 10);
  ASSERT_EQ(Cluster.slot(0).Phase, slot_phase::Revoking);
  Cluster.apply(grant(0, "t2", Granted));
  EXPECT_EQ(Cluster.slot(0).Phase, slot_phase::Revoking);
  Cluster.apply(grant(0, "t2", Cluster.slot(0).ChangedIndex));
  EXPECT_EQ(Cluster.slot(0).Owner, "t2");
}

TEST(cluster_state, gives_each_grant_a_greater_token_also_after_a_release) {
  test_cluster Cluster = clusterWithTargets();
  Cluster.apply(grant(0, "t1", 0));
  const std::uint64_t First = Cluster.slot(0).Token;
  Cluster.loseTarget("t1", 10);
  Cluster.apply(grant(0, "", Cluster.slot(0).ChangedIndex));
  EXPECT_EQ(Cluster.slot(0).Phase, slot_phase::Unowned);
  Cluster.apply(grant(0, "t2", Cluster.slot(0).ChangedIndex));
  EXPECT_GT(Cluster.slot(0).Token, First);
}

TEST(cluster_state, refuses_to_resize_a_service_with_unreleased_slots) {
  test_cluster Cluster = clusterWithTargets();
  Cluster.apply(grant(0, "t2", 0));
  Cluster.loseTarget("t1", 10);
  Cluster.loseTarget("t2", 10);
  EXPECT_EQ(Cluster.setInventory(testInventory(8)).Refusal,
            error_kind::InvalidChange);
  Cluster.apply(grant(0, "", Cluster.slot(0).ChangedIndex));
  EXPECT_TRUE(Cluster.setInventory(testInventory(8)).accepted());
}

TEST(cluster_state, remembers_the_longest_deadline_and_isolation) {
  test_cluster Cluster = clusterWithTargets();
  Cluster.setRules(testRules(60000, 9000));
  Cluster.setRules(testRules(500, 100));
  const auto Restored = cluster_state::fromSnapshot(Cluster.State.toSnapshot());
  EXPECT_EQ(Restored.longestDeadlineMs("archive"), 60000U);
  EXPECT_EQ(Restored.longestIsolationMs(), 9000U);
}

TEST(cluster_state, marks_a_host_replaced_until_its_predecessor_has_ended) {
  test_cluster Cluster;
  Cluster.joinHost("e1", 1);
  EXPECT_FALSE(Cluster.State.entryHosts().at("e1").Replaced);
  Cluster.joinHost("e1", 2);
  EXPECT_TRUE(Cluster.State.entryHosts().at("e1").Replaced);
  Cluster.joinHost("e1", 1);
  EXPECT_EQ(Cluster.State.entryHosts().at("e1").Incarnation, 2U);
  wire::command Settled;
  Settled.mutable_host_settled()->set_host_id("e1");
  Settled.mutable_host_settled()->set_incarnation(2);
  Cluster.apply(Settled);
  EXPECT_FALSE(Cluster.State.entryHosts().at("e1").Replaced);
}

TEST(cluster_state, comes_back_from_a_snapshot_unchanged) {
  test_cluster Cluster = clusterWithTargets();
  Cluster.joinHost("e1", 1);
  Cluster.joinHost("e1", 2);
  Cluster.apply(grant(0, "t1", 0));
  Cluster.apply(grant(1, "t2", 0));
  const std::string Before = Cluster.State.toSnapshot().SerializeAsString();
  const auto Restored = cluster_state::fromSnapshot(Cluster.State.toSnapshot());
  EXPECT_EQ(Restored.toSnapshot().SerializeAsString(), Before);
}

// ---- Configuration ---------------------------------------------------------

struct change {
  std::string OperationId;
  std::optional<std::uint64_t> Base;
  std::string Inventory;
};

struct change_case {
  std::string Name;
  std::vector<change> Changes;
  std::optional<error_kind> LastRefusal;
  std::uint64_t LastVersion;  //!< In the result of the last change.
  std::uint64_t FinalVersion; //!< In force after all changes.
};

void PrintTo(const change_case &Case, std::ostream *Out) { *Out << Case.Name; }

class config_change : public testing::TestWithParam<change_case> {};

TEST_P(config_change, is_applied_once_and_only_to_its_base_version) {
  const change_case &Case = GetParam();
  test_cluster Cluster;
  apply_result Last;
  for (const change &Change : Case.Changes) {
    wire::command Command;
    Command.set_operation_id(Change.OperationId);
    if (Change.Base)
      Command.set_base_version(*Change.Base);
    Command.mutable_set_inventory()->set_json(Change.Inventory);
    Last = Cluster.apply(Command);
  }
  EXPECT_EQ(Last.Refusal, Case.LastRefusal);
  EXPECT_EQ(Last.Version, Case.LastVersion);
  EXPECT_EQ(Cluster.State.configVersion(), Case.FinalVersion);
}

const std::string Four = testInventory(4);
const std::string Eight = testInventory(8);

INSTANTIATE_TEST_SUITE_P(
    each_kind, config_change,
    testing::Values(
        change_case{"first", {{"o1", 0, Four}}, std::nullopt, 1, 1},
        change_case{"without_base", {{"o1", {}, Four}}, std::nullopt, 1, 1},
        change_case{"racing_operators",
                    {{"o1", 0, Four}, {"o2", 0, Eight}},
                    error_kind::VersionConflict,
                    1,
                    1},
        change_case{"next_version",
                    {{"o1", 0, Four}, {"o2", 1, Eight}},
                    std::nullopt,
                    2,
                    2},
        change_case{"resent", {{"o1", 0, Four}, {"o1", 0, Four}}, {}, 1, 1},
        change_case{"resent_after_another_change",
                    {{"o1", 0, Four}, {"o2", 1, Eight}, {"o1", 0, Four}},
                    std::nullopt,
                    1,
                    2},
        change_case{"refused_resent_after_it_would_fit",
                    {{"o1", 1, Eight}, {"o2", 0, Four}, {"o1", 1, Eight}},
                    error_kind::VersionConflict,
                    0,
                    1},
        change_case{"invalid",
                    {{"o1", 0, Four}, {"o2", 1, "{}"}},
                    error_kind::InvalidChange,
                    1,
                    1},
        change_case{"not_json",
                    {{"o1", 0, Four}, {"o2", 1, "{"}},
                    error_kind::InvalidChange,
                    1,
                    1}));

} // namespace
} // namespace pomelo
