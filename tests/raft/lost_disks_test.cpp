//! Groups that must bear the loss of more disks than their founders allow.
#include "raft/raft_group.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr unsigned Founders = 3;
//! Steps of 10 ms until the group has grown to its voters, as of catch_up_s.
constexpr int MaxGrowthSteps = 400;
//! Steps until a confirmed leader answers after the losses.
constexpr int MaxElectionSteps = 300;
//! Steps until the group has all its voters again.
constexpr int MaxRecoverySteps = 1000;
constexpr milliseconds MaxDownTime{2000};

//! Three founders, each of its own failure domain, and hosts that were started
//! together with them.
struct lost_disks_case {
  std::string Name;
  std::vector<std::string> JoiningDomains;
  unsigned Losses = 2;
  bool PowerLost = false;
  bool LeaderLost = true;
};

void PrintTo(const lost_disks_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class group_of_tolerance {
public:
  group_of_tolerance(unsigned Losses, std::uint64_t Seed)
      : Wanted(2 * Losses + 1), Group(Founders, Seed, 0, Losses) {}

  void join(const std::vector<std::string> &Domains) {
    for (const std::string &Domain : Domains)
      Group.addJoiningHost(fmt::format("j{}", ++Joined), Domain,
                           {"c1", "c2", "c3"}, true);
  }

  bool awaitAllVoters(int MaxSteps) {
    return Group.stepUntil([this] { return Group.voters().size() == Wanted; },
                           MaxSteps);
  }

  //! The number of voters in the failure domain that has the most.
  std::size_t mostInOneDomain() {
    std::map<std::string, std::size_t> Counts;
    std::size_t Most = 0;
    for (const std::string &Id : Group.voters())
      Most = std::max(Most, ++Counts[Group.host(Id).FailureDomain]);
    return Most;
  }

  //! Voters, the leader first or last.
  std::set<std::string> choose(unsigned Count, bool Leader) {
    std::set<std::string> Chosen;
    if (Leader)
      Chosen.insert(Group.leader()->Id);
    for (const std::string &Id : Group.voters())
      if (Chosen.size() < Count && Id != Group.leader()->Id)
        Chosen.insert(Id);
    return Chosen;
  }

  std::string commitOne() {
    Group.propose();
    const std::uint64_t Index = Group.leader()->Core->log().lastIndex();
    EXPECT_TRUE(Group.stepUntil([&] {
      return Group.leader() && Group.leader()->AppliedIndex >= Index;
    }));
    return Group.leader()->Applied;
  }

  std::size_t Wanted;
  raft_group Group;
  unsigned Joined = 0;
};

class lost_disks
    : public testing::TestWithParam<std::tuple<lost_disks_case, unsigned>> {};

// Guards against a group with as many voters as founders: two lost disks of
// three voters left it without a leader for good (CONFIG, issue 37).
TEST_P(lost_disks, of_the_tolerated_number_leave_a_leader_and_all_entries) {
  const lost_disks_case &Case = std::get<0>(GetParam());
  group_of_tolerance Deployment(Case.Losses, std::get<1>(GetParam()));
  raft_group &Group = Deployment.Group;
  Deployment.join(Case.JoiningDomains);
  ASSERT_TRUE(Deployment.awaitAllVoters(MaxGrowthSteps))
      << Group.voters().size() << " voters";
  const std::string Acknowledged = Deployment.commitOne();
  const raft_time LastReturn =
      Group.endDay(Deployment.choose(Case.Losses, Case.LeaderLost),
                   Case.PowerLost, MaxDownTime);
  while (Group.Now < LastReturn)
    Group.step({});
  EXPECT_TRUE(Group.stepUntil([&] { return !Group.voters().empty(); },
                              MaxElectionSteps));
  ASSERT_TRUE(Group.leader());
  EXPECT_TRUE(Deployment.commitOne().starts_with(Acknowledged));
  EXPECT_TRUE(Deployment.awaitAllVoters(MaxRecoverySteps));
}

const std::vector<std::string> TwoDomains{"d4", "d5"};
//! Two hosts in each of five failure domains.
const std::vector<std::string> FiveDomains{
    "domain of c1", "domain of c2", "domain of c3", "d4", "d4", "d5", "d5"};

INSTANTIATE_TEST_SUITE_P(
    table, lost_disks,
    testing::Combine(
        testing::Values(
            lost_disks_case{"two_of_five", TwoDomains},
            lost_disks_case{"two_followers_of_five", TwoDomains, 2, false,
                            false},
            lost_disks_case{"two_of_five_and_power", TwoDomains, 2, true},
            lost_disks_case{"two_of_ten", FiveDomains},
            lost_disks_case{"two_of_ten_and_power", FiveDomains, 2, true},
            lost_disks_case{"three_of_ten_and_power", FiveDomains, 3, true}),
        testing::Range(1U, 6U)),
    [](const auto &Info) {
      return fmt::format("{}_seed_{}", std::get<0>(Info.param).Name,
                         std::get<1>(Info.param));
    });

// Guards against voters that gather in one failure domain, whose loss then
// takes the majority, while hosts of others are learners.
TEST(voters, spread_over_failure_domains_whoever_joins_first) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    group_of_tolerance Deployment(2, Seed);
    Deployment.join({"domain of c1", "domain of c1"});
    ASSERT_TRUE(Deployment.awaitAllVoters(MaxGrowthSteps));
    EXPECT_EQ(Deployment.mostInOneDomain(), 3U);
    Deployment.join({"d4", "d5"});
    EXPECT_TRUE(Deployment.Group.stepUntil(
        [&] {
          return Deployment.Group.voters().size() == Deployment.Wanted &&
                 Deployment.mostInOneDomain() == 1;
        },
        MaxGrowthSteps))
        << "seed " << Seed;
  }
}

} // namespace
} // namespace pomelo
