//! Endings of a day in which hosts lose their disks while the others lose
//! power.
#include "raft/raft_group.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! Hosts come back within this time.
constexpr milliseconds MaxDownTime{1000};
//! Steps of 10 ms, counted from the return of the last host, until a confirmed
//! leader answers.
constexpr int MaxElectionSteps = 300;
//! Steps, counted likewise, until the emptied hosts are voters again. A
//! snapshot that is lost is sent again after 300 steps.
constexpr int MaxRecoverySteps = 1000;
constexpr int MaxSetupSteps = 1000;
constexpr int ProposalsPastSnapshot = 100;
const fault_plan SlowDisks{.Name = "slow_disks", .SlowSync = 70};

struct group_shape {
  std::string Name;
  unsigned Founders = 3;
  unsigned Outsiders = 0;
  //! As many disks as a majority can do without.
  [[nodiscard]] std::size_t disksLost() const { return (Founders - 1) / 2; }
};

//! Which hosts lose their disks.
enum class victims { Leader, FollowersThatSynced, FollowersThatLag };

//! When the day ends.
enum class moment {
  Acknowledged,
  InFlight,
  SnapshotInstall,
  MembershipChange,
  TakingBack,
  TakenBack
};

void PrintTo(const group_shape &Shape, std::ostream *Out) {
  *Out << Shape.Name;
}

std::string nameOf(victims Victims) {
  switch (Victims) {
  case victims::Leader:
    return "leader";
  case victims::FollowersThatSynced:
    return "synced_follower";
  default:
    return "lagging_follower";
  }
}

std::string nameOf(moment Moment) {
  switch (Moment) {
  case moment::Acknowledged:
    return "acknowledged";
  case moment::InFlight:
    return "in_flight";
  case moment::SnapshotInstall:
    return "snapshot_install";
  case moment::MembershipChange:
    return "membership_change";
  case moment::TakingBack:
    return "taking_back";
  default:
    return "taken_back";
  }
}

using ending_parameters =
    std::tuple<group_shape, victims, bool, moment, unsigned>;

class day_ending : public testing::TestWithParam<ending_parameters> {
protected:
  void SetUp() override {
    ASSERT_TRUE(Group.stepUntil([&] { return Group.leader() != nullptr; }));
    proposeMany(static_cast<int>(Random() % ProposalsPastSnapshot));
    ASSERT_TRUE(Group.stepUntil(
        [&] { return Group.membersAreVotersAndAgree(); }, MaxSetupSteps));
  }

  void proposeMany(int Count) {
    for (int Number = 0; Number < Count; ++Number) {
      Group.propose();
      Group.step({});
    }
  }

  //! Steps with slow disks until \p Condition holds, and up to three more.
  template <typename Predicate> void stepSlowlyUntil(Predicate Condition) {
    int Steps = 0;
    while (!Condition() && ++Steps < MaxSetupSteps)
      Group.step(SlowDisks);
    EXPECT_TRUE(Condition());
    Group.runSteps(static_cast<int>(Random() % 4), SlowDisks);
  }

  //! Followers that are founding members, those with the newest synced entry
  //! first.
  std::vector<std::string> followers() {
    const fake_host &Leader = *Group.leader();
    std::vector<std::string> Ids;
    for (unsigned Number = 1; Number <= Shape.Founders; ++Number)
      if (const auto Id = fmt::format("c{}", Number); Id != Leader.Id)
        Ids.push_back(Id);
    std::shuffle(Ids.begin(), Ids.end(), Random);
    std::stable_sort(Ids.begin(), Ids.end(), [&](const auto &A, const auto &B) {
      return Leader.Core->matchIndexOf(A) > Leader.Core->matchIndexOf(B);
    });
    return Ids;
  }

  //! The hosts that lose their disks. A host that was not yet taken back in is
  //! among them, because its disk still counts as lost.
  std::set<std::string> chooseVictims() {
    std::vector<std::string> Order = followers();
    if (Victims == victims::FollowersThatLag)
      std::reverse(Order.begin(), Order.end());
    if (Victims == victims::Leader)
      Order.insert(Order.begin(), Group.leader()->Id);
    std::set<std::string> Chosen;
    if (!NotTakenBack.empty())
      Chosen.insert(NotTakenBack);
    for (const std::string &Id : Order)
      if (Chosen.size() < Shape.disksLost())
        Chosen.insert(Id);
    return Chosen;
  }

  void reachMoment() {
    switch (Moment) {
    case moment::Acknowledged:
      return reachAcknowledgement();
    case moment::InFlight:
      return reachEntryInFlight();
    case moment::SnapshotInstall:
      return reachSnapshotInstall();
    case moment::MembershipChange:
      return reachMembershipChange();
    case moment::TakingBack:
      return reachTakingBack();
    case moment::TakenBack:
      return reachTakenBack();
    }
  }

  void reachAcknowledgement() {
    Group.propose();
    const std::uint64_t Index = Group.leader()->Core->log().lastIndex();
    int Steps = 0;
    while (Group.leader()->AppliedIndex < Index && ++Steps < MaxSetupSteps)
      Group.step(SlowDisks);
    EXPECT_GE(Group.leader()->AppliedIndex, Index);
  }

  void reachEntryInFlight() {
    for (auto Steps = 1 + Random() % 8; Steps > 0; --Steps) {
      Group.propose();
      Group.step(SlowDisks);
    }
  }

  void reachSnapshotInstall() {
    const std::string Lagging = followers().front();
    Group.cut(Lagging, "");
    Group.cut("", Lagging);
    proposeMany(ProposalsPastSnapshot);
    Group.heal();
    stepSlowlyUntil([&] {
      const auto &Write = Group.host(Lagging).PendingWrite;
      return Write && Write->Snapshot;
    });
  }

  void reachMembershipChange() {
    const std::string Added =
        fmt::format("c{}", Shape.Founders + Shape.Outsiders + 1);
    Group.addHost(Added);
    wire::raft_member Member;
    Member.set_host_id(Added);
    Group.propose();
    EXPECT_EQ(Group.leader()->Core->addLearner(Member), std::nullopt);
    Group.runSteps(static_cast<int>(Random() % 40), SlowDisks);
  }

  void reachTakingBack() {
    NotTakenBack = followers().front();
    Group.loseDisk(NotTakenBack);
    Group.start(NotTakenBack);
    Group.propose();
    stepSlowlyUntil([&] { return !Group.host(NotTakenBack).Core->blank(); });
  }

  //! The other followers may not have heard yet that the host is a voter.
  void reachTakenBack() {
    const std::string Emptied = followers().front();
    Group.loseDisk(Emptied);
    Group.start(Emptied);
    Group.propose();
    int Steps = 0;
    while (!Group.leaderKnowsAsVoter(Emptied) && ++Steps < MaxSetupSteps)
      Group.step(SlowDisks);
    EXPECT_TRUE(Group.leaderKnowsAsVoter(Emptied));
    reachAcknowledgement();
  }

  bool confirmedLeader() {
    const fake_host *Leader = Group.leader();
    return Leader && Leader->Core->leadershipConfirmed(Group.Now);
  }

  void recordTimeSince(raft_time Since, const std::string &Name) {
    const auto Time =
        std::chrono::duration_cast<milliseconds>(Group.Now - Since);
    RecordProperty(Name, std::to_string(Time.count()));
  }

  group_shape Shape = std::get<0>(GetParam());
  victims Victims = std::get<1>(GetParam());
  bool PowerLost = std::get<2>(GetParam());
  moment Moment = std::get<3>(GetParam());
  std::mt19937_64 Random{std::get<4>(GetParam())};
  raft_group Group{Shape.Founders, std::get<4>(GetParam()), Shape.Outsiders};
  std::string NotTakenBack;
};

TEST_P(day_ending, loses_nothing_acknowledged_and_takes_emptied_hosts_back) {
  reachMoment();
  ASSERT_NE(Group.leader(), nullptr);
  const std::string Acknowledged = Group.leader()->Applied;
  const std::uint64_t CommittedBefore = Group.Committed;
  const raft_time LastReturn =
      Group.endDay(chooseVictims(), PowerLost, MaxDownTime);
  while (Group.Now < LastReturn)
    Group.step({});
  const raft_time Returned = Group.Now;
  EXPECT_TRUE(
      Group.stepUntil([&] { return confirmedLeader(); }, MaxElectionSteps));
  recordTimeSince(Returned, "leader_ms");
  EXPECT_TRUE(Group.stepUntil([&] { return Group.membersAreVotersAndAgree(); },
                              MaxRecoverySteps));
  ASSERT_NE(Group.leader(), nullptr);
  recordTimeSince(Returned, "recovery_ms");
  EXPECT_TRUE(Group.leader()->Applied.starts_with(Acknowledged));
  EXPECT_GE(Group.Committed, CommittedBefore);
  Group.propose();
  const std::uint64_t Index = Group.leader()->Core->log().lastIndex();
  EXPECT_TRUE(Group.stepUntil([&] {
    return Group.Committed >= Index && Group.membersAreVotersAndAgree();
  }));
  EXPECT_TRUE(Group.leader()->Applied.ends_with(
      fmt::format("{};", Group.Proposed - 1)));
}

INSTANTIATE_TEST_SUITE_P(
    table, day_ending,
    testing::Combine(testing::Values(group_shape{"three", 3, 0},
                                     group_shape{"three_and_an_outsider", 3, 1},
                                     group_shape{"five", 5, 0}),
                     testing::Values(victims::Leader,
                                     victims::FollowersThatSynced,
                                     victims::FollowersThatLag),
                     testing::Bool(),
                     testing::Values(moment::Acknowledged, moment::InFlight,
                                     moment::SnapshotInstall,
                                     moment::MembershipChange,
                                     moment::TakingBack, moment::TakenBack),
                     testing::Range(1U, 4U)),
    [](const auto &Info) {
      return fmt::format("{}_{}_{}_{}_seed_{}", std::get<0>(Info.param).Name,
                         nameOf(std::get<1>(Info.param)),
                         std::get<2>(Info.param) ? "power_lost" : "power_kept",
                         nameOf(std::get<3>(Info.param)),
                         std::get<4>(Info.param));
    });

} // namespace
} // namespace pomelo
