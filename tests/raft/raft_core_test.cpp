#include "raft/raft_group.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

class raft_under_faults
    : public testing::TestWithParam<std::tuple<fault_plan, std::uint64_t>> {};

TEST_P(raft_under_faults, commits_one_history_and_recovers) {
  const auto &[Plan, Seed] = GetParam();
  raft_group Group(3, Seed);
  for (int Step = 0; Step < 3000; ++Step) {
    Group.step(Plan);
    if (Step % 3 == 0)
      Group.propose();
  }
  Group.heal();
  const std::uint64_t CommittedBefore = Group.Committed;
  EXPECT_GT(CommittedBefore, 10U);
  EXPECT_TRUE(Group.stepUntil([&] { return Group.allHostsAreVoters(); }));
  Group.propose();
  EXPECT_TRUE(Group.stepUntil([&] {
    return Group.Committed > CommittedBefore && Group.allHostsAgree();
  }));
}

INSTANTIATE_TEST_SUITE_P(
    table, raft_under_faults,
    testing::Combine(
        testing::Values(
            fault_plan{"no_fault"}, fault_plan{.Name = "loss", .Loss = 20},
            fault_plan{.Name = "duplication", .Duplication = 30},
            fault_plan{.Name = "reordering", .Reordering = true},
            fault_plan{.Name = "pauses", .Pause = 0.2},
            fault_plan{.Name = "crashes", .Crash = 0.2, .SlowSync = 70},
            fault_plan{.Name = "disk_losses",
                       .Crash = 0.05,
                       .DiskLoss = 0.05,
                       .SlowSync = 50},
            fault_plan{.Name = "cuts", .Cut = 0.1},
            fault_plan{.Name = "all",
                       .Loss = 5,
                       .Duplication = 10,
                       .Reordering = true,
                       .Pause = 0.05,
                       .Crash = 0.05,
                       .DiskLoss = 0.02,
                       .SlowSync = 50,
                       .Cut = 0.03}),
        testing::Values(1, 2, 3, 4, 5)),
    [](const auto &Info) {
      return std::get<0>(Info.param).Name + "_seed_" +
             std::to_string(std::get<1>(Info.param));
    });

class raft_of_three : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Group.stepUntil([&] { return Group.leader() != nullptr; }));
    Group.propose();
    // Three entries: the configuration, the no-op of the new term, the command.
    ASSERT_TRUE(Group.stepUntil(
        [&] { return Group.Committed >= 3 && Group.allHostsAgree(); }));
    Leader = Group.leader()->Id;
    Other = Leader == "c1" ? "c2" : "c1";
    Third = Leader == "c3" ? "c2" : "c3";
    Term = Group.leader()->Core->term();
  }

  raft_core &core(const std::string &Id) { return *Group.host(Id).Core; }

  void isolate(const std::string &Id) {
    Group.cut(Id, "");
    Group.cut("", Id);
  }

  raft_group Group{3, 7};
  std::string Leader, Other, Third; //!< Other and Third are followers.
  std::uint64_t Term = 0;
};

TEST_F(raft_of_three, an_isolated_leader_loses_its_lease_before_another_leads) {
  isolate(Leader);
  bool WasConfirmed = true;
  const bool Replaced = Group.stepUntil([&] {
    WasConfirmed = core(Leader).leadershipConfirmed(Group.Now);
    return Group.leader() && Group.leader()->Id != Leader;
  });
  EXPECT_TRUE(Replaced);
  EXPECT_FALSE(WasConfirmed);
  EXPECT_NE(core(Leader).role(), raft_role::Leader);
}

// Guards against a leader that takes a change of long ago for a new one (EVAC,
// review/7).
TEST_F(raft_of_three, a_follower_that_is_cut_off_keeps_an_ageing_stamp) {
  const auto AgeOfItsStamp = [this] {
    return core(Leader).ageOf(core(Other).latestStamp(), Group.Now);
  };
  ASSERT_TRUE(AgeOfItsStamp());
  EXPECT_LT(*AgeOfItsStamp(), raft_times().LeaderLease);
  isolate(Other);
  Group.runSteps(100);
  ASSERT_EQ(core(Leader).role(), raft_role::Leader);
  ASSERT_TRUE(AgeOfItsStamp());
  EXPECT_GT(*AgeOfItsStamp(), std::chrono::milliseconds(900));
}

TEST_F(raft_of_three, a_stamp_counts_in_its_term_and_at_its_leader_only) {
  leader_stamp Stamp = core(Other).latestStamp();
  EXPECT_TRUE(core(Leader).ageOf(Stamp, Group.Now));
  EXPECT_FALSE(core(Third).ageOf(Stamp, Group.Now));
  --Stamp.Term;
  EXPECT_FALSE(core(Leader).ageOf(Stamp, Group.Now));
}

TEST_F(raft_of_three, a_follower_that_returns_from_a_cut_disturbs_nobody) {
  isolate(Other);
  Group.runSteps(500);
  Group.heal();
  Group.runSteps(100);
  EXPECT_EQ(core(Other).term(), Term);
  EXPECT_EQ(Group.leader()->Id, Leader);
}

TEST_F(raft_of_three, a_voter_refuses_others_while_it_hears_the_leader) {
  wire::raft_message Request;
  Request.set_from_host(Other);
  Request.set_from_replica(core(Other).identity().replica_id());
  Request.set_to_host(Third);
  Request.set_starts(1);
  Request.set_run_id(99);
  Request.set_term(Term + 5);
  Request.mutable_vote_request()->set_last_index(1000);
  Request.mutable_vote_request()->set_last_term(Term + 4);
  core(Third).receive(Request, Group.Now);
  EXPECT_EQ(core(Third).term(), Term);
}

TEST_F(raft_of_three, a_restarted_voter_waits_as_if_it_had_heard_the_leader) {
  Group.crash(Third, false);
  Group.start(Third);
  isolate(Leader);
  const raft_time Restarted = Group.Now;
  Group.stepUntil(
      [&] { return Group.leader() && Group.leader()->Id != Leader; });
  EXPECT_GE(Group.Now - Restarted, raft_times().ElectionMin);
}

TEST_F(raft_of_three, a_new_disk_has_no_vote_until_it_holds_everything) {
  isolate(Leader);
  Group.loseDisk(Other);
  Group.start(Other);
  // The third host has all entries and lacks only a quorum. A host with a new
  // disk must not provide the missing vote.
  EXPECT_FALSE(Group.stepUntil(
      [&] { return core(Third).role() == raft_role::Leader; }, 500));
  Group.heal();
  EXPECT_TRUE(Group.stepUntil([&] { return Group.allHostsAreVoters(); }));
  EXPECT_GE(Group.leader()->Core->matchIndexOf(Other), Group.Committed - 1);
}

TEST_F(raft_of_three, a_folder_that_was_rolled_back_takes_no_part) {
  const stored_state Copy = Group.host(Other).Disk;
  const std::uint64_t CommittedBefore = Group.Committed;
  for (int Count = 0; Count < 5; ++Count)
    Group.propose();
  ASSERT_TRUE(Group.stepUntil([&] {
    return Group.Committed >= CommittedBefore + 5 && Group.allHostsAgree();
  }));
  Group.crash(Other, false);
  Group.host(Other).Disk = Copy;
  Group.start(Other);
  EXPECT_TRUE(Group.stepUntil([&] { return core(Other).rolledBack(); }, 200));
}

TEST_F(raft_of_three, a_replaced_host_goes_once_the_new_one_is_a_voter) {
  Group.crash(Other, false);
  Group.host(Other).InactiveUntil = raft_time::max();
  Group.addHost("c4");
  wire::raft_member Member;
  Member.set_host_id("c4");
  Member.set_replaces(Other);
  EXPECT_EQ(core(Leader).addLearner(Member), std::nullopt);
  EXPECT_NE(core(Leader).removeMember(Third), std::nullopt)
      << "two membership changes at a time were accepted";
  const auto IsVoter = [&](const std::string &Id) {
    const auto &Members = core(Leader).log().config().members();
    return std::any_of(Members.begin(), Members.end(), [&](const auto &Each) {
      return Each.host_id() == Id && Each.voter();
    });
  };
  EXPECT_TRUE(Group.stepUntil([&] {
    EXPECT_TRUE(IsVoter("c4") || IsVoter(Other))
        << "the replaced host was removed before the new one was a voter";
    return IsVoter("c4") && !IsVoter(Other);
  }));
  Group.crash(Third, false);
  Group.host(Third).InactiveUntil = raft_time::max();
  const std::uint64_t CommittedBefore = Group.Committed;
  Group.propose();
  EXPECT_TRUE(
      Group.stepUntil([&] { return Group.Committed > CommittedBefore; }));
}

TEST_F(raft_of_three, proposals_made_together_share_one_sync) {
  for (int Count = 0; Count < 50; ++Count)
    Group.propose();
  const storage_batch Batch = core(Leader).takeBatch();
  EXPECT_EQ(Batch.Record.entries_size(), 50);
}

TEST_F(raft_of_three, nothing_is_committed_before_a_quorum_has_synced) {
  const fault_plan NeverSynced{.Name = "never_synced", .SlowSync = 100};
  const std::uint64_t CommittedBefore = Group.Committed;
  Group.propose();
  Group.runSteps(50, NeverSynced);
  EXPECT_EQ(Group.Committed, CommittedBefore);
  EXPECT_TRUE(
      Group.stepUntil([&] { return Group.Committed > CommittedBefore; }));
}

} // namespace
} // namespace pomelo
