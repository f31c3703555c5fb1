//! Control hosts that are lost for good while new ones start in their place.
#include "raft/raft_group.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace pomelo {
namespace {

//! A new host must be a voter, and the one that it stands in for none, this
//! many steps of 10 ms after its start.
constexpr int MaxCatchUpSteps = 400;
//! Likewise if the lost host is of a domain that has other voters.
constexpr int MaxSilentSteps = 600;
constexpr int MaxSetupSteps = 1000;
constexpr int PlannedOverlapSteps = 400;
constexpr int RestartSteps = 100;
const fault_plan Faults{.Name = "faults",
                        .Loss = 5,
                        .Duplication = 5,
                        .Reordering = true,
                        .Pause = 0.05,
                        .SlowSync = 30};

class replaced_host_fixture {
public:
  explicit replaced_host_fixture(unsigned Founders, std::uint64_t Seed)
      : Founders(Founders), Random(Seed), Group(Founders, Seed) {}

  void setUp() {
    ASSERT_TRUE(Group.stepUntil([&] { return Group.leader() != nullptr; }));
    for (std::uint64_t Count = Random() % 120; Count > 0; --Count) {
      Group.propose();
      Group.step({});
    }
    ASSERT_TRUE(Group.stepUntil(
        [&] { return Group.membersAreVotersAndAgree(); }, MaxSetupSteps));
  }

  std::string domainOf(const std::string &Id) {
    return Group.host(Id).FailureDomain;
  }

  //! Starts a host in the failure domain of \p Old that knows some founders.
  std::string startInPlaceOf(const std::string &Old) {
    std::string Id = fmt::format("n{}", ++Started);
    std::vector<std::string> Seeds;
    for (const std::string &Known : Group.hostIds())
      if (Group.host(Known).Core)
        Seeds.push_back(Known);
    std::shuffle(Seeds.begin(), Seeds.end(), Random);
    Seeds.resize(std::min<std::size_t>(Seeds.size(), 3));
    Group.addJoiningHost(Id, domainOf(Old), Seeds);
    return Id;
  }

  std::string leaderId() { return Group.leader()->Id; }

  //! The members as each running host knows them, for messages of failed
  //! expectations.
  std::string describe() {
    std::string Text;
    for (const std::string &Id : Group.hostIds()) {
      const fake_host &Host = Group.host(Id);
      if (!Host.Core)
        continue;
      Text += fmt::format("\n{} role {} term {} commit {}:", Id,
                          static_cast<int>(Host.Core->role()),
                          Host.Core->term(), Host.Core->commitIndex());
      for (const auto &Member : Host.Core->log().config().members())
        Text += fmt::format(
            " {}{}{}", Member.host_id(), Member.voter() ? "" : " (learner)",
            Member.replaces().empty() ? "" : " for " + Member.replaces());
    }
    return Text;
  }

  std::string follower() {
    std::vector<std::string> Ids;
    for (const std::string &Id : Group.voters())
      if (Id != leaderId())
        Ids.push_back(Id);
    return Ids.at(Random() % Ids.size());
  }

  void expectInsteadOf(const std::string &New, const std::string &Old,
                       int MaxSteps = MaxCatchUpSteps) {
    EXPECT_TRUE(Group.stepUntil(
        [&] {
          const auto Voters = Group.voters();
          return Voters.size() == Founders && Voters.contains(New) &&
                 !Voters.contains(Old);
        },
        MaxSteps))
        << New << " in place of " << Old << describe();
  }

  //! Proposes until a proposal is committed: a leader that is deposed loses
  //! what it had proposed.
  bool commitOne() {
    for (int Try = 0; Try < 5; ++Try) {
      Group.stepUntil([&] { return !Group.voters().empty(); }, MaxSetupSteps);
      if (Group.voters().empty())
        return false;
      const std::string Leader = leaderId();
      Group.propose();
      const std::uint64_t Index = Group.leader()->Core->log().lastIndex();
      Group.stepUntil([&] {
        return !Group.leader() || leaderId() != Leader ||
               Group.leader()->AppliedIndex >= Index;
      });
      if (Group.leader() && leaderId() == Leader)
        return Group.leader()->AppliedIndex >= Index;
    }
    return false;
  }

  //! Loses the disk of a voter while all others restart; nothing acknowledged
  //! may be missing, and the group must go on.
  void expectOneMoreLossBorne() {
    ASSERT_TRUE(commitOne()) << describe();
    const std::string Acknowledged = Group.leader()->Applied;
    const auto Voters = Group.voters();
    ASSERT_FALSE(Voters.empty());
    const std::string Lost = *std::next(
        Voters.begin(), static_cast<std::ptrdiff_t>(Random() % Voters.size()));
    for (const std::string &Id : Voters)
      if (Id != Lost)
        Group.crash(Id, Random() % 2 == 0);
    Group.loseDisk(Lost);
    Group.runSteps(RestartSteps);
    EXPECT_TRUE(Group.stepUntil(
        [&] { return Group.voters().size() == Founders; }, MaxSetupSteps));
    ASSERT_TRUE(commitOne()) << describe();
    EXPECT_TRUE(Group.leader()->Applied.starts_with(Acknowledged));
  }

  unsigned Founders;
  std::mt19937_64 Random;
  raft_group Group;
  unsigned Started = 0;
};

//! A way in which control hosts are replaced.
struct replacement {
  std::string Name;
  std::function<void(replaced_host_fixture &)> Play;
  unsigned Founders = 3;
};

void PrintTo(const replacement &Row, std::ostream *Out) { *Out << Row.Name; }

void replacePlanned(replaced_host_fixture &Group, const std::string &Old) {
  const std::string New = Group.startInPlaceOf(Old);
  Group.expectInsteadOf(New, Old);
  Group.Group.runSteps(PlannedOverlapSteps);
  Group.Group.removeHost(Old);
}

void replaceLost(replaced_host_fixture &Group, const std::string &Old) {
  Group.Group.removeHost(Old);
  Group.Group.runSteps(100);
  Group.expectInsteadOf(Group.startInPlaceOf(Old), Old);
}

void replaceWhileCut(replaced_host_fixture &Group) {
  const std::string Old = Group.follower();
  Group.Group.cut(Old, "");
  Group.Group.cut("", Old);
  Group.Group.runSteps(50);
  Group.expectInsteadOf(Group.startInPlaceOf(Old), Old);
  Group.Group.heal();
  Group.Group.runSteps(PlannedOverlapSteps);
}

//! The second of two new hosts waits as a learner.
void startTwoForOne(replaced_host_fixture &Group) {
  const std::string Old = Group.follower();
  Group.startInPlaceOf(Old);
  Group.startInPlaceOf(Old);
  Group.Group.removeHost(Old);
  EXPECT_TRUE(Group.Group.stepUntil(
      [&] {
        const auto Voters = Group.Group.voters();
        return Voters.size() == Group.Founders && !Voters.contains(Old);
      },
      MaxCatchUpSteps));
  Group.Group.runSteps(PlannedOverlapSteps);
}

void loseReplacementWhileItCatchesUp(replaced_host_fixture &Group) {
  const std::string Old = Group.follower();
  const std::string First = Group.startInPlaceOf(Old);
  Group.Group.runSteps(static_cast<int>(Group.Random() % 20));
  Group.Group.removeHost(First);
  Group.Group.runSteps(300);
  Group.Group.removeHost(Old);
  Group.Group.runSteps(100);
  EXPECT_TRUE(Group.Group.stepUntil(
      [&] { return !Group.Group.voters().empty(); }, MaxSetupSteps));
  const bool FirstCounts = Group.Group.voters().contains(First);
  Group.expectInsteadOf(Group.startInPlaceOf(Old), FirstCounts ? First : Old,
                        MaxSilentSteps);
}

//! A new host of a domain that has no voter takes the place of a silent one.
void replaceFromAnotherDomain(replaced_host_fixture &Group) {
  const std::string Old = Group.follower();
  Group.Group.addJoiningHost("elsewhere", "another domain", {"c1", "c2", "c3"});
  Group.Group.runSteps(100);
  EXPECT_FALSE(Group.Group.voters().contains("elsewhere"));
  Group.Group.removeHost(Old);
  Group.expectInsteadOf("elsewhere", Old, 1200);
}

//! A host that was started together with the founders of the group, in the
//! domain of one of them, stands in for none that answers.
void replaceBySpare(replaced_host_fixture &Group) {
  const std::string Old = Group.follower();
  Group.Group.addJoiningHost("spare", Group.domainOf(Old), {"c1", "c2", "c3"},
                             true);
  Group.Group.runSteps(PlannedOverlapSteps);
  const auto Voters = Group.Group.voters();
  EXPECT_TRUE(Voters.contains(Old) && !Voters.contains("spare"))
      << Group.describe();
  Group.Group.removeHost(Old);
  Group.expectInsteadOf("spare", Old, MaxSilentSteps);
}

const replacement Replacements[] = {
    {"planned", [](auto &Group) { replacePlanned(Group, Group.follower()); }},
    {"planned_leader",
     [](auto &Group) { replacePlanned(Group, Group.leaderId()); }},
    {"lost", [](auto &Group) { replaceLost(Group, Group.follower()); }},
    {"lost_leader", [](auto &Group) { replaceLost(Group, Group.leaderId()); }},
    {"all_in_a_row",
     [](auto &Group) {
       for (const std::string Id : {"c1", "c2", "c3"})
         replaceLost(Group, Id);
     }},
    {"while_cut", replaceWhileCut},
    {"two_for_one", startTwoForOne},
    {"replacement_dies", loseReplacementWhileItCatchesUp},
    {"from_another_domain", replaceFromAnotherDomain},
    {"by_spare", replaceBySpare},
    {"two_of_five",
     [](auto &Group) {
       const std::string Second = Group.follower();
       Group.Group.removeHost(Group.leaderId());
       Group.Group.removeHost(Second);
       const std::string First = Group.startInPlaceOf("c1");
       const std::string Other = Group.startInPlaceOf(Second);
       EXPECT_TRUE(Group.Group.stepUntil(
           [&] {
             const auto Voters = Group.Group.voters();
             return Voters.size() == Group.Founders &&
                    !Voters.contains(Second) && Voters.contains(Other);
           },
           MaxSilentSteps));
     },
     5},
};

class replaced_host
    : public testing::TestWithParam<std::tuple<replacement, unsigned>> {};

TEST_P(replaced_host, is_taken_in_and_the_group_bears_one_more_loss) {
  const replacement &Row = std::get<0>(GetParam());
  replaced_host_fixture Group(Row.Founders, std::get<1>(GetParam()));
  ASSERT_NO_FATAL_FAILURE(Group.setUp());
  Row.Play(Group);
  Group.expectOneMoreLossBorne();
}

INSTANTIATE_TEST_SUITE_P(table, replaced_host,
                         testing::Combine(testing::ValuesIn(Replacements),
                                          testing::Range(1U, 6U)),
                         [](const auto &Info) {
                           return fmt::format("{}_seed_{}",
                                              std::get<0>(Info.param).Name,
                                              std::get<1>(Info.param));
                         });

TEST(replaced_hosts, an_operators_removal_is_not_undone_by_the_removed_host) {
  replaced_host_fixture Group(3, 1);
  ASSERT_NO_FATAL_FAILURE(Group.setUp());
  const std::string Removed = Group.follower();
  ASSERT_EQ(Group.Group.leader()->Core->removeMember(Removed), std::nullopt);
  Group.Group.runSteps(MaxCatchUpSteps);
  EXPECT_EQ(Group.Group.voters().size(), 2U);
  EXPECT_FALSE(Group.Group.host(Removed).Core->joinRefusal().empty());
}

class drawn_replacements : public testing::TestWithParam<unsigned> {};

//! Replaces drawn hosts in drawn ways while messages are lost, late and double
//! and hosts pause. The group itself checks that a term has one leader and that
//! all apply the same.
TEST_P(drawn_replacements, lose_nothing_and_leave_a_full_group) {
  replaced_host_fixture Group(3 + 2 * (GetParam() % 2), GetParam());
  ASSERT_NO_FATAL_FAILURE(Group.setUp());
  for (int Round = 0; Round < 4; ++Round) {
    const auto Voters = Group.Group.voters();
    ASSERT_EQ(Voters.size(), Group.Founders) << "round " << Round;
    const std::string Old =
        *std::next(Voters.begin(),
                   static_cast<std::ptrdiff_t>(Group.Random() % Voters.size()));
    const bool Planned = Group.Random() % 2 == 0;
    if (!Planned)
      Group.Group.removeHost(Old);
    const std::string New = Group.startInPlaceOf(Old);
    for (int Step = 0; Step < PlannedOverlapSteps; ++Step) {
      if (Step % 10 == 0)
        Group.Group.propose();
      Group.Group.step(Faults);
    }
    if (Planned)
      Group.Group.removeHost(Old);
    EXPECT_TRUE(Group.Group.stepUntil(
        [&] {
          const auto Now = Group.Group.voters();
          return Now.size() == Group.Founders && !Now.contains(Old);
        },
        MaxSetupSteps))
        << "round " << Round << ": " << New << " in place of " << Old
        << Group.describe();
  }
  Group.expectOneMoreLossBorne();
}

INSTANTIATE_TEST_SUITE_P(seeds, drawn_replacements, testing::Range(1U, 21U));

} // namespace
} // namespace pomelo
