#include "pomeloswitch/ownership/slot_planner.hpp"

#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <map>

namespace pomelo {
namespace {

constexpr mono_time Start{std::chrono::hours(1)};
constexpr std::uint64_t Commit = 100000;

//! A leader of a service with 16 slots, and the entry host "e1", which sends
//! heartbeats.
class slot_planning : public testing::Test {
protected:
  void SetUp() override {
    Driven.setInventory(testInventory(16));
    Driven.setRules(testRules(2000));
    Driven.joinHost("e1", 1);
    Leases.startTerm(Driven.State, Now);
    sendHostHeartbeat();
  }

  void sendHostHeartbeat() {
    host_status Status;
    Status.Announced = {"e1", 1, "a", false};
    Status.AppliedIndex = Status.QuiescedIndex = Driven.State.index();
    Status.HeardAt = Now;
    Leases.hostHeard(Status, Commit);
  }

  void sendTargetReport(const std::string &Id, std::uint64_t Index) {
    const auto &Member = Driven.State.targets().at(Id);
    Leases.targetHeard({Member, Index, Index, Now}, Commit);
  }
  void sendTargetReport(const std::string &Id) {
    sendTargetReport(Id, Driven.State.index());
  }

  void join(const target_member &Target) {
    Driven.joinTarget(Target);
    sendTargetReport(Target.TargetId);
  }

  //! Joins \p Count targets named \p Prefix and a number from 1 on.
  void joinAll(const std::string &Prefix, unsigned Count, unsigned FirstPort) {
    for (unsigned Number = 1; Number <= Count; ++Number)
      join(testTarget(fmt::format("{}{}", Prefix, Number), 1, true,
                      FirstPort + Number));
  }

  void sendTargetReports() {
    for (const auto &[Id, Target] : Driven.State.targets())
      sendTargetReport(Id);
  }

  void plan() {
    Driven.applyAll(Planner.plan(Driven.State, Leases, Loads, Now));
  }

  //! Plans until the state no longer changes; returns the number of rounds. All
  //! hosts and all targets but the silent ones apply each plan at once.
  unsigned planAll() {
    unsigned Rounds = 0;
    for (auto Index = Driven.State.index(); Rounds < 1000; ++Rounds) {
      sendHostHeartbeat();
      for (const auto &[Id, Target] : Driven.State.targets())
        if (!SilentTargets.contains(Id))
          sendTargetReport(Id);
      plan();
      if (Driven.State.index() == Index)
        break;
      Index = Driven.State.index();
    }
    return Rounds;
  }

  std::map<std::string, unsigned> activeSlots() {
    std::map<std::string, unsigned> Counts;
    for (const slot_ownership &Slot : *Driven.State.sharedSlots("archive"))
      if (Slot.Phase == slot_phase::Active)
        ++Counts[Slot.Owner];
    return Counts;
  }

  unsigned countInPhase(slot_phase Phase) {
    unsigned Count = 0;
    for (const slot_ownership &Slot : *Driven.State.sharedSlots("archive"))
      Count += Slot.Phase == Phase ? 1 : 0;
    return Count;
  }

  mono_time Now = Start;
  load_table Loads;
  test_cluster Driven;
  lease_table Leases{lease_times()};
  slot_planner Planner{planner_limits()};
  std::set<std::string> SilentTargets;
};

TEST_F(slot_planning, gives_targets_slots_by_their_size) {
  join(testTarget("t1", 1, true, 4001));
  target_member Large = testTarget("t2", 1, true, 4002);
  Large.Slots = 6;
  join(Large);
  planAll();
  EXPECT_EQ(activeSlots()["t1"], 4U);
  EXPECT_EQ(activeSlots()["t2"], 12U);
}

TEST_F(slot_planning, moves_only_what_a_joining_target_takes_over) {
  join(testTarget("t1", 1, true, 4001));
  planAll();
  const slot_table Before = *Driven.State.sharedSlots("archive");
  join(testTarget("t2", 1, true, 4002));
  planAll();
  unsigned Moved = 0;
  for (std::size_t Number = 0; Number < Before.size(); ++Number)
    Moved += Driven.slot(Number).Token != Before[Number].Token ? 1 : 0;
  EXPECT_EQ(Moved, 8U);
  EXPECT_EQ(activeSlots()["t2"], 8U);
}

TEST_F(slot_planning, revokes_the_slots_of_a_leaving_target_with_no_other) {
  join(testTarget("t1", 1, true, 4001));
  planAll();
  wire::command Leaving;
  Leaving.mutable_target_leaving()->set_target_id("t1");
  Leaving.mutable_target_leaving()->set_incarnation(1);
  Driven.apply(Leaving);
  planAll();
  EXPECT_EQ(countInPhase(slot_phase::Unowned), 16U);
}

TEST_F(slot_planning, releases_revoked_slots_that_nobody_can_take) {
  join(testTarget("t1", 1, false, 4001));
  planAll();
  Driven.loseTarget("t1", 1);
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Revoking), 16U);
  sendHostHeartbeat();
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Unowned), 16U);
}

TEST_F(slot_planning, waits_for_entry_hosts_where_the_owner_does_not_check) {
  join(testTarget("t1", 1, false, 4001));
  planAll();
  Driven.loseTarget("t1", 1);
  join(testTarget("t2", 1, true, 4002));
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Revoking), 16U);
  sendHostHeartbeat();
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Granted), 16U);
}

TEST_F(slot_planning, waits_out_a_lost_entry_host_and_its_deadlines) {
  join(testTarget("t1", 1, false, 4001));
  planAll();
  Driven.loseTarget("t1", 1);
  join(testTarget("t2", 1, true, 4002));
  Now += lease_times().HostLease + milliseconds(1900);
  sendTargetReport("t2");
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Revoking), 16U);
  Now += milliseconds(200);
  sendTargetReport("t2");
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Granted), 16U);
}

TEST_F(slot_planning, waits_until_a_checking_owner_has_settled) {
  join(testTarget("t1", 1, true, 4001));
  planAll();
  const auto Before = Driven.State.index();
  wire::command Drain;
  Drain.mutable_set_drain()->set_scope(wire::set_drain::TARGET);
  Drain.mutable_set_drain()->set_name("t1");
  Drain.mutable_set_drain()->set_out(true);
  Driven.apply(Drain);
  join(testTarget("t2", 1, true, 4002));
  plan();
  sendHostHeartbeat();
  sendTargetReport("t1", Before);
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Revoking), 16U);
  sendTargetReport("t1");
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Granted), 16U);
}

TEST_F(slot_planning, ignores_a_report_of_a_newer_incarnation_than_the_owner) {
  join(testTarget("t1", 1, true, 4001));
  planAll();
  wire::command Drain;
  Drain.mutable_set_drain()->set_scope(wire::set_drain::TARGET);
  Drain.mutable_set_drain()->set_name("t1");
  Drain.mutable_set_drain()->set_out(true);
  Driven.apply(Drain);
  join(testTarget("t2", 1, true, 4002));
  plan();
  // A report of incarnation 2 must not settle the slots of incarnation 1.
  target_member Second = testTarget("t1", 2, true, 4009);
  Leases.targetHeard({Second, Driven.State.index(), Driven.State.index(), Now},
                     Commit);
  plan();
  EXPECT_EQ(countInPhase(slot_phase::Revoking), 16U);
}

TEST_F(slot_planning, bounds_planned_moves_in_flight) {
  Driven.setInventory(testInventory(256));
  join(testTarget("t1", 1, true, 4001));
  planAll();
  join(testTarget("t2", 1, true, 4002));
  SilentTargets = {"t1"};
  for (int Round = 0; Round < 5; ++Round)
    plan();
  EXPECT_EQ(countInPhase(slot_phase::Revoking), planner_limits().MovesInFlight);
}

//! Targets that serve all slots, and some that join them.
struct joining_case {
  std::string Name;
  std::uint32_t Slots;
  unsigned Serving;
  unsigned Joining;
  float JoiningSeconds; //!< Time of a request there; 0.1 s elsewhere.
};

void PrintTo(const joining_case &Case, std::ostream *Out) { *Out << Case.Name; }

class slots_of_joining_targets
    : public slot_planning,
      public testing::WithParamInterface<joining_case> {
protected:
  //! Reports the same load of each slot, and the speed of each target.
  void sendLoads() {
    wire::heartbeat Beat;
    Beat.set_host_id("e1");
    auto *Loads = Beat.add_loads();
    Loads->set_service("archive");
    for (std::uint32_t Slot = 0; Slot < GetParam().Slots; ++Slot) {
      Loads->add_slots(Slot);
      Loads->add_per_second(1);
    }
    for (const auto &[Id, Target] : Driven.State.targets()) {
      auto *Speed = Beat.add_speeds();
      Speed->set_target_id(Id);
      Speed->set_seconds(Id[0] == 'j' ? GetParam().JoiningSeconds : 0.1F);
    }
    this->Loads.recordHeartbeat(Beat, Now);
  }
};

// A target without slots is never measured again, so it would stay idle.
TEST_P(slots_of_joining_targets, are_some_although_no_owner_has_too_many) {
  const joining_case &Case = GetParam();
  Driven.setInventory(testInventory(Case.Slots));
  joinAll("t", Case.Serving, 4000);
  planAll();
  joinAll("j", Case.Joining, 5000);
  sendLoads();
  EXPECT_LT(planAll(), 20U);
  const auto Active = activeSlots();
  for (unsigned Number = 1; Number <= Case.Joining; ++Number)
    EXPECT_TRUE(Active.contains(fmt::format("j{}", Number))) << Number;
  EXPECT_TRUE(Planner.plan(Driven.State, Leases, Loads, Now).empty());
}

INSTANTIATE_TEST_SUITE_P(
    each_fleet, slots_of_joining_targets,
    testing::Values(joining_case{"two_slow_beside_four", 64, 4, 2, 0.25F},
                    joining_case{"one_beside_some", 64, 21, 1, 0.1F},
                    joining_case{"one_beside_many", 256, 21, 1, 0.1F},
                    joining_case{"one_beside_nearly_as_many_as_slots", 256, 222,
                                 1, 0.1F}),
    [](const auto &Info) { return Info.param.Name; });

TEST_P(slots_of_joining_targets, are_no_more_than_they_lack_while_these_move) {
  const joining_case &Case = GetParam();
  Driven.setInventory(testInventory(Case.Slots));
  joinAll("t", Case.Serving, 4000);
  plan();
  sendTargetReports();
  plan();
  joinAll("j", Case.Joining, 5000);
  const auto Targets = Case.Serving + Case.Joining;
  const double Share = static_cast<double>(Case.Slots) / Targets;
  const auto Idle = Targets - static_cast<unsigned>(activeSlots().size());
  sendLoads();
  for (int Round = 0; Round < 5; ++Round)
    plan();
  EXPECT_GE(countInPhase(slot_phase::Revoking), 1U);
  EXPECT_LE(countInPhase(slot_phase::Revoking), Idle * Share);
}

TEST_F(slot_planning, leaves_no_target_without_slots_that_suffice_for_all) {
  constexpr unsigned Targets = 222;
  Driven.setInventory(testInventory(256));
  joinAll("t", Targets, 4000);
  plan();
  sendHostHeartbeat();
  sendTargetReports();
  plan();
  EXPECT_EQ(activeSlots().size(), Targets);
}

TEST_F(slot_planning, keeps_slots_where_there_are_fewer_than_targets) {
  joinAll("t", 20, 4000);
  EXPECT_LT(planAll(), 20U);
  EXPECT_TRUE(Planner.plan(Driven.State, Leases, Loads, Now).empty());
  EXPECT_EQ(activeSlots().size(), 16U);
}

TEST_F(slot_planning, converges) {
  joinAll("t", 5, 4000);
  EXPECT_LT(planAll(), 20U);
  EXPECT_TRUE(Planner.plan(Driven.State, Leases, Loads, Now).empty());
}

} // namespace
} // namespace pomelo
