//! Roll-outs at the leader, with modelled entry hosts and targets.
#include "pomeloswitch/rollout/rollout_coordinator.hpp"

#include "pomeloswitch/ownership/slot_planner.hpp"
#include "pomeloswitch/rollout/outcome_codec.hpp"
#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <random>

namespace pomelo {
namespace {

constexpr mono_time Start{std::chrono::hours(1)};
constexpr milliseconds Step{100};
constexpr milliseconds Duration{15000};
constexpr unsigned DeadlineMs = 1000;
constexpr std::uint64_t Commit = 1'000'000;

const std::string KeylessInventory = R"json({
  "failure_domains": [{"name": "a", "region": "r"}],
  "services": [{"name": "archive"}],
  "client_accounts": []})json";
const std::string KeylessRules = R"json({
  "routes": [{"name": "reports", "path_prefix": "/", "service": "archive",
              "access": "open", "deadline_ms": 1000}]})json";

struct fleet_case {
  std::string Name;
  bool Keyed = false;
  double NewFailures = 0.005;
  rollout_stage End = rollout_stage::Completed;
  //! The leader is replaced at these times since the order.
  std::vector<milliseconds> LeaderChanges = {};
  //! One of the hosts is silent from this time on.
  std::optional<milliseconds> HostSilentFrom = {};
  //! All new targets leave at this time.
  std::optional<milliseconds> NewTargetsLostAt = {};
  //! The configuration removes the service at this time.
  std::optional<milliseconds> ServiceRemovedAt = {};
  //! All new targets leave once all requests go to them.
  bool NewTargetsLostInCompletion = false;
  milliseconds Limit = Duration;
  //! Hosts report to a new leader after this time.
  milliseconds ReportsDelay{0};
};

void PrintTo(const fleet_case &Case, std::ostream *Out) { *Out << Case.Name; }

//! Two entry hosts with 200 requests/s each, and ten targets of each version.
class rollout_fleet : public testing::TestWithParam<fleet_case> {
protected:
  const fleet_case &Case = GetParam();

  void SetUp() override {
    Driven.setInventory(Case.Keyed ? testInventory(64) : KeylessInventory);
    Driven.setRules(Case.Keyed ? testRules(DeadlineMs) : KeylessRules);
    for (const std::string Host : {"e1", "e2"})
      Driven.joinHost(Host, 1);
    for (unsigned Number = 0; Number < 2 * TargetsOfVersion; ++Number)
      join(Number);
    Leases.startTerm(Driven.State, Now);
    settleKeys();
    order(Case.Limit);
  }

  void join(unsigned Number) {
    target_member Target =
        testTarget(fmt::format("t{:02}", Number), 1, true, 1000 + Number);
    wire::command Command;
    auto &Joined = *Command.mutable_target_joined();
    Joined.set_target_id(Target.TargetId);
    Joined.set_incarnation(1);
    Joined.set_service("archive");
    Joined.set_failure_domain("a");
    Joined.set_address(Target.Address);
    Joined.set_slots(Target.Slots);
    Joined.set_checks_fence(true);
    Joined.set_version(Number < TargetsOfVersion ? "v1" : "v2");
    Driven.apply(Command);
  }

  apply_result order(milliseconds Limit, const std::string &Version = "v2") {
    wire::command Command;
    Command.set_time_ms(timeMs());
    Command.mutable_start_rollout()->set_service("archive");
    Command.mutable_start_rollout()->set_version(Version);
    Command.mutable_start_rollout()->set_duration_ms(
        static_cast<std::uint64_t>(Limit.count()));
    return Driven.apply(Command);
  }

  [[nodiscard]] std::uint64_t timeMs() const {
    return static_cast<std::uint64_t>(
        1'000'000 +
        std::chrono::duration_cast<milliseconds>(Now - Start).count());
  }

  [[nodiscard]] const rollout &latest() const {
    return *Driven.State.rollouts().find("archive");
  }

  void hear() {
    for (const std::string Host : {"e1", "e2"}) {
      if (Host == "e2" && SilentHost)
        continue;
      host_status Status;
      Status.Announced = {Host, 1, "a", false};
      Status.AppliedIndex = Status.QuiescedIndex = Driven.State.index();
      Status.HeardAt = Now;
      Leases.hostHeard(Status, Commit);
      wire::heartbeat Heartbeat;
      Heartbeat.set_host_id(Host);
      Heartbeat.set_incarnation(1);
      if (Now >= ReportsFrom)
        encode(Meters[Host].outcomes(), Heartbeat);
      Coordinator->recordHeartbeat(Heartbeat);
    }
    for (const auto &[Id, Target] : Driven.State.targets())
      Leases.targetHeard(
          {Target, Driven.State.index(), Driven.State.index(), Now}, Commit);
  }

  void settleKeys() {
    for (int Round = 0; Round < 50; ++Round) {
      hear();
      Driven.applyAll(Planner.plan(Driven.State, Leases, Loads, Now));
    }
  }

  //! Sends the requests of one step as the state says.
  void send() {
    for (auto &[Host, Meter] : Meters)
      for (int Request = 0; Request < 20; ++Request)
        sendOne(Meter);
  }

  void sendOne(rollout_meter &Meter) {
    const std::string Target = Case.Keyed ? ownerOfAnyKey() : anyTarget();
    const auto Member = Driven.State.targets().find(Target);
    if (Member == Driven.State.targets().end() || latest().ended())
      return;
    const bool New = Member->second.Version == "v2";
    counted_attempt Attempt{"reports", Target, New, false, milliseconds(200)};
    Attempt.Failed = Uniform(Random) < (New ? Case.NewFailures : 0.005);
    Meter.record("archive", latest().StartedIndex, Attempt);
    ++Sent;
    SentToNew += New ? 1 : 0;
  }

  std::string ownerOfAnyKey() {
    const auto Slots = Driven.State.sharedSlots("archive");
    return (*Slots)[Random() % Slots->size()].Owner;
  }

  std::string anyTarget() {
    const bool New = 1000 * Uniform(Random) < latest().SharePermille;
    return fmt::format("t{:02}", Random() % TargetsOfVersion +
                                     (New ? TargetsOfVersion : 0));
  }

  void disturb(milliseconds Elapsed) {
    for (const milliseconds Change : Case.LeaderChanges)
      if (Change == Elapsed) {
        Coordinator = std::make_unique<rollout_coordinator>(exposure_bounds());
        Leases.startTerm(Driven.State, Now);
        ReportsFrom = Now + Case.ReportsDelay;
      }
    SilentHost = Case.HostSilentFrom && Elapsed >= *Case.HostSilentFrom;
    const bool LostInCompletion = Case.NewTargetsLostInCompletion &&
                                  latest().Stage == rollout_stage::Completing;
    if (Case.NewTargetsLostAt == Elapsed || LostInCompletion)
      for (unsigned Number = 0; Number < TargetsOfVersion; ++Number)
        Driven.loseTarget(fmt::format("t{:02}", TargetsOfVersion + Number), 1);
    if (Case.ServiceRemovedAt == Elapsed) {
      wire::command Command;
      auto &Change = *Command.mutable_replace_configuration();
      Change.set_number(7);
      Change.set_inventory_json(
          R"({"failure_domains": [{"name": "a", "region": "r"}],
              "services": [{"name": "other"}], "client_accounts": []})");
      Change.set_rules_json(R"({"routes": [{"name": "r", "path_prefix": "/",
                               "service": "other", "access": "open"}]})");
      const apply_result Result = Driven.apply(Command);
      ASSERT_TRUE(Result.accepted()) << Result.Message;
    }
  }

  //! Returns when the roll-out ended, since the order.
  milliseconds play() {
    for (milliseconds Elapsed{0}; Elapsed <= Case.Limit; Elapsed += Step) {
      Now = Start + Elapsed;
      disturb(Elapsed);
      send();
      hear();
      for (wire::command &Command :
           Coordinator->step(Driven.State, Leases, Now, timeMs())) {
        Command.set_time_ms(timeMs());
        Driven.apply(Command);
      }
      if (Case.Keyed)
        Driven.applyAll(Planner.plan(Driven.State, Leases, Loads, Now));
      if (latest().ended())
        return Elapsed;
    }
    return Case.Limit + Step;
  }

  static constexpr unsigned TargetsOfVersion = 10;
  test_cluster Driven;
  lease_table Leases{lease_times()};
  load_table Loads;
  slot_planner Planner{planner_limits()};
  std::unique_ptr<rollout_coordinator> Coordinator =
      std::make_unique<rollout_coordinator>(exposure_bounds());
  std::map<std::string, rollout_meter> Meters{{"e1", {}}, {"e2", {}}};
  mono_time Now = Start;
  mono_time ReportsFrom = Start;
  bool SilentHost = false;
  std::mt19937_64 Random{1};
  std::uniform_real_distribution<double> Uniform{0, 1};
  std::uint64_t Sent = 0;
  std::uint64_t SentToNew = 0;
};

// Guards against a roll-out that never ends, or ends while requests or keys are
// still with the version that loses, whatever fails beside it.
TEST_P(rollout_fleet, ends_in_time_and_leaves_nothing_behind) {
  const milliseconds EndedAt = play();
  EXPECT_LE(EndedAt, Case.Limit);
  EXPECT_EQ(toString(latest().Stage), toString(Case.End)) << latest().Reason;
  // The bound is on a version that is bad; this one was good until it was gone.
  if (Case.NewTargetsLostInCompletion)
    return;
  if (Case.End == rollout_stage::RolledBack) {
    EXPECT_LE(static_cast<double>(SentToNew),
              0.1 * static_cast<double>(Sent) *
                      (Case.Limit / std::max(EndedAt, Step)) +
                  50);
    return;
  }
  if (Case.Keyed)
    for (const slot_ownership &Slot : *Driven.State.sharedSlots("archive"))
      EXPECT_EQ(Driven.State.targets().at(Slot.Owner).Version, "v2");
}

// Guards against an order that is refused or starts again when it is repeated,
// and against two roll-outs of one service.
TEST_P(rollout_fleet, acknowledges_the_same_order_and_refuses_another) {
  const std::uint64_t StartedIndex = latest().StartedIndex;
  EXPECT_TRUE(order(Case.Limit).accepted());
  EXPECT_EQ(latest().StartedIndex, StartedIndex);
  EXPECT_EQ(order(Duration, "v3").Refusal, error_kind::VersionConflict);
  EXPECT_EQ(order(Duration, "").Refusal, error_kind::InvalidChange);
  EXPECT_EQ(order(milliseconds(0)).Refusal, error_kind::InvalidChange);
  EXPECT_EQ(latest().Version, "v2");
}

// Guards against a roll-out that is lost with the processes.
TEST_P(rollout_fleet, is_in_the_snapshots) {
  play();
  const auto Restored = cluster_state::fromSnapshot(Driven.State.toSnapshot());
  const rollout *Rollout = Restored.rollouts().find("archive");
  ASSERT_TRUE(Rollout);
  EXPECT_EQ(Rollout->Stage, latest().Stage);
  EXPECT_EQ(Rollout->StartedIndex, latest().StartedIndex);
  EXPECT_EQ(Rollout->Reason, latest().Reason);
}

INSTANTIATE_TEST_SUITE_P(
    table, rollout_fleet,
    testing::Values(
        fleet_case{"good"}, fleet_case{.Name = "good_keyed", .Keyed = true},
        fleet_case{.Name = "bad",
                   .NewFailures = 0.4,
                   .End = rollout_stage::RolledBack},
        fleet_case{.Name = "bad_keyed",
                   .Keyed = true,
                   .NewFailures = 0.4,
                   .End = rollout_stage::RolledBack},
        fleet_case{.Name = "good_with_another_leader",
                   .LeaderChanges = {milliseconds(5000), milliseconds(12500)}},
        fleet_case{.Name = "bad_with_another_leader",
                   .NewFailures = 0.4,
                   .End = rollout_stage::RolledBack,
                   .LeaderChanges = {milliseconds(700)}},
        fleet_case{.Name = "good_with_a_silent_host",
                   .HostSilentFrom = milliseconds(6000)},
        fleet_case{.Name = "new_targets_lost",
                   .End = rollout_stage::RolledBack,
                   .NewTargetsLostAt = milliseconds(300)},
        fleet_case{.Name = "new_targets_lost_in_the_completion",
                   .End = rollout_stage::RolledBack,
                   .NewTargetsLostInCompletion = true},
        fleet_case{.Name = "new_owners_lost_in_the_completion",
                   .Keyed = true,
                   .End = rollout_stage::RolledBack,
                   .NewTargetsLostInCompletion = true},
        fleet_case{.Name = "another_leader_after_a_quiet_time",
                   .End = rollout_stage::RolledBack,
                   .LeaderChanges = {milliseconds(8000)},
                   .NewTargetsLostAt = milliseconds(300)},
        fleet_case{.Name = "another_leader_at_the_last_moment",
                   .LeaderChanges = {milliseconds(1500)},
                   .Limit = milliseconds(5000),
                   .ReportsDelay = milliseconds(300)},
        fleet_case{.Name = "service_removed",
                   .End = rollout_stage::RolledBack,
                   .ServiceRemovedAt = milliseconds(3000)}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
