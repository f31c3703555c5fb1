//! Which versions and which targets may get requests, after several roll-outs.
#include "pomeloswitch/ownership/slot_planner.hpp"
#include "pomeloswitch/state/rollout_targets.hpp"
#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace pomelo {
namespace {

const rollout &latestOf(const cluster_state &State) {
  return *State.rollouts().find("archive");
}

void join(test_cluster &Driven, const std::string &Id,
          const std::string &Version) {
  wire::command Command;
  auto &Joined = *Command.mutable_target_joined();
  Joined.set_target_id(Id);
  Joined.set_incarnation(1);
  Joined.set_service("archive");
  Joined.set_failure_domain("a");
  // A target that announces the address of another one replaces it.
  Joined.set_address(
      fmt::format("127.0.0.1:{}", 9000 + Driven.State.targets().size()));
  Joined.set_slots(1);
  Joined.set_version(Version);
  Driven.apply(Command);
}

void order(test_cluster &Driven, const std::string &Version) {
  wire::command Command;
  Command.set_time_ms(Driven.State.timeMs() + 60'000);
  Command.mutable_start_rollout()->set_service("archive");
  Command.mutable_start_rollout()->set_version(Version);
  Command.mutable_start_rollout()->set_duration_ms(10'000);
  const apply_result Result = Driven.apply(Command);
  ASSERT_TRUE(Result.accepted()) << Result.Message;
}

void advance(test_cluster &Driven, rollout_stage Stage,
             std::uint32_t Permille) {
  wire::command Command;
  auto &Change = *Command.mutable_advance_rollout();
  Change.set_service("archive");
  Change.set_started_index(latestOf(Driven.State).StartedIndex);
  Change.set_stage(static_cast<std::uint32_t>(Stage));
  Change.set_share_permille(Permille);
  Driven.apply(Command);
}

struct ended_rollout {
  std::string Version;
  rollout_stage End;
};

struct history_case {
  std::string Name;
  std::vector<ended_rollout> Earlier;
  std::string Ordered;
  std::vector<std::string> Allowed; //!< Of v1 to v4.
  rollout_stage Stage = rollout_stage::Running;
};

void PrintTo(const history_case &Case, std::ostream *Out) { *Out << Case.Name; }

class rollout_history : public testing::TestWithParam<history_case> {
protected:
  void SetUp() override {
    Driven.setInventory(testInventory(8));
    Driven.setRules(testRules(1000));
    for (const ended_rollout &Earlier : GetParam().Earlier) {
      order(Driven, Earlier.Version);
      advance(Driven, Earlier.End, 0);
    }
    order(Driven, GetParam().Ordered);
  }

  test_cluster Driven;
};

std::vector<std::string> allowedIn(const cluster_state &State) {
  std::vector<std::string> Allowed;
  for (const std::string Version : {"v1", "v2", "v3", "v4"})
    if (latestOf(State).allows(Version))
      Allowed.push_back(Version);
  return Allowed;
}

// Guards against requests to a version that was rolled back or replaced, once
// another version is ordered, also after a restart.
TEST_P(rollout_history, still_rules_out_the_versions) {
  EXPECT_EQ(toString(latestOf(Driven.State).Stage), toString(GetParam().Stage));
  EXPECT_EQ(allowedIn(Driven.State), GetParam().Allowed);
  EXPECT_EQ(allowedIn(cluster_state::fromSnapshot(Driven.State.toSnapshot())),
            GetParam().Allowed);
}

// Guards against keys that are granted to such a version.
TEST_P(rollout_history, grants_keys_to_allowed_versions_only) {
  for (const std::string Version : {"v1", "v2", "v3", "v4"})
    join(Driven, "t" + Version, Version);
  const mono_time Now{std::chrono::hours(1)};
  lease_table Leases{lease_times()};
  Leases.startTerm(Driven.State, Now);
  for (const auto &[Id, Target] : Driven.State.targets())
    Leases.targetHeard(
        {Target, Driven.State.index(), Driven.State.index(), Now}, 1'000'000);
  Driven.applyAll(
      slot_planner(planner_limits()).plan(Driven.State, Leases, {}, Now));
  for (const slot_ownership &Slot : *Driven.State.sharedSlots("archive"))
    if (!Slot.Owner.empty()) {
      EXPECT_TRUE(std::ranges::count(GetParam().Allowed, Slot.Owner.substr(1)))
          << Slot.Owner;
    }
}

constexpr auto Completed = rollout_stage::Completed;
constexpr auto RolledBack = rollout_stage::RolledBack;

INSTANTIATE_TEST_SUITE_P(
    table, rollout_history,
    testing::Values(history_case{"first", {}, "v2", {"v1", "v2", "v3", "v4"}},
                    history_case{"after_a_roll_back",
                                 {{"v2", RolledBack}},
                                 "v3",
                                 {"v1", "v3", "v4"}},
                    history_case{"same_again_after_a_roll_back",
                                 {{"v2", RolledBack}},
                                 "v2",
                                 {"v1", "v2", "v3", "v4"}},
                    history_case{"after_two_roll_backs",
                                 {{"v2", RolledBack}, {"v3", RolledBack}},
                                 "v4",
                                 {"v1", "v4"}},
                    history_case{"after_a_completion",
                                 {{"v2", Completed}},
                                 "v3",
                                 {"v2", "v3"}},
                    history_case{"after_a_completion_and_a_roll_back",
                                 {{"v2", Completed}, {"v3", RolledBack}},
                                 "v4",
                                 {"v2", "v4"}},
                    history_case{"back_to_the_version_in_force",
                                 {{"v2", Completed}, {"v3", RolledBack}},
                                 "v2",
                                 {"v2"},
                                 rollout_stage::Completing}),
    [](const auto &Info) { return Info.param.Name; });

struct resend_case {
  std::string Name;
  std::uint64_t DurationMs;
  std::uint64_t ResentAfterMs;
  bool StartsAgain;
};

void PrintTo(const resend_case &Case, std::ostream *Out) { *Out << Case.Name; }

class resent_order : public testing::TestWithParam<resend_case> {};

// Guards against a second roll-out by an order that was resent because its
// acknowledgement was lost, after the first one was rolled back.
TEST_P(resent_order, starts_again_only_if_it_is_a_new_one) {
  test_cluster Driven;
  Driven.setInventory(testInventory(8));
  wire::command Command;
  Command.set_time_ms(1'000'000);
  Command.mutable_start_rollout()->set_service("archive");
  Command.mutable_start_rollout()->set_version("v2");
  Command.mutable_start_rollout()->set_duration_ms(GetParam().DurationMs);
  Driven.apply(Command);
  const std::uint64_t StartedIndex = latestOf(Driven.State).StartedIndex;
  advance(Driven, RolledBack, 0);
  Command.set_time_ms(Command.time_ms() + GetParam().ResentAfterMs);
  ASSERT_TRUE(Driven.apply(Command).accepted());
  EXPECT_EQ(latestOf(Driven.State).StartedIndex != StartedIndex,
            GetParam().StartsAgain);
}

INSTANTIATE_TEST_SUITE_P(
    table, resent_order,
    testing::Values(resend_case{"within_the_limit", 12000, 11900, false},
                    resend_case{"after_the_limit", 12000, 12100, true},
                    resend_case{"of_a_short_roll_out", 1000, 3900, false},
                    resend_case{"long_after_a_short_one", 1000, 9000, true}),
    [](const auto &Info) { return Info.param.Name; });

std::vector<std::string> inUse(const cluster_state &State) {
  const name_set HeldBack = heldBackTargets(State);
  std::vector<std::string> Ids;
  for (const auto &[Id, Target] : State.targets())
    if (!Target.Leaving && !State.drainedByOperators(Target) &&
        !HeldBack.contains(Id))
      Ids.push_back(Id);
  return Ids;
}

// Guards against a roll-out without evidence because the few targets that it
// uses leave: the others have to take their place.
TEST(rollout_targets, replaces_targets_that_leave) {
  test_cluster Driven;
  Driven.setInventory(testInventory(8));
  Driven.setRules(testRules(1000));
  for (int Number = 0; Number < 12; ++Number)
    join(Driven, fmt::format("t{}", Number), "v2");
  order(Driven, "v2");
  advance(Driven, rollout_stage::Running, 20);
  ASSERT_EQ(inUse(Driven.State).size(), 5U);
  for (const std::string &Id : inUse(Driven.State)) {
    wire::command Command;
    Command.mutable_target_leaving()->set_target_id(Id);
    Command.mutable_target_leaving()->set_incarnation(1);
    Driven.apply(Command);
  }
  EXPECT_EQ(inUse(Driven.State).size(), 5U);
}

} // namespace
} // namespace pomelo
