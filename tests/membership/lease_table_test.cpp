#include "pomeloswitch/membership/lease_table.hpp"

#include "pomeloswitch/membership/member_planner.hpp"
#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace pomelo {
namespace {

constexpr mono_time Start{std::chrono::hours(1)};
constexpr milliseconds Lease = lease_times().HostLease;
constexpr milliseconds AfterLease =
    Lease + milliseconds(20); //!< Lease and clock drift.
constexpr std::uint64_t Commit = 1000;

host_status heartbeatOf(const std::string &Id, std::uint64_t Incarnation,
                        std::uint64_t Index, mono_time HeardAt) {
  host_status Status;
  Status.Announced = {Id, Incarnation, "a", false};
  Status.AppliedIndex = Index;
  Status.QuiescedIndex = Index;
  Status.HeardAt = HeardAt;
  return Status;
}

target_status reportOf(const target_member &Target, std::uint64_t Index,
                       mono_time HeardAt) {
  return {Target, Index, Index, HeardAt};
}

TEST(lease_table, takes_a_quiesced_index_no_further_than_the_applied_one) {
  lease_table Leases{lease_times()};
  host_status Status = heartbeatOf("e1", 1, 5, Start);
  Status.QuiescedIndex = 500;
  Leases.hostHeard(Status, Commit);
  EXPECT_EQ(Leases.findHost("e1")->QuiescedIndex, 5U);
}

TEST(lease_table, takes_no_index_further_than_what_is_committed) {
  lease_table Leases{lease_times()};
  Leases.hostHeard(heartbeatOf("e1", 1, 5000, Start), Commit);
  Leases.targetHeard(reportOf(testTarget("t1", 1, true, 4001), 5000, Start),
                     Commit);
  EXPECT_EQ(Leases.findHost("e1")->QuiescedIndex, Commit);
  EXPECT_EQ(Leases.findTarget("t1")->SettledIndex, Commit);
}

//! A report that arrives after a newer one must not make a leaving target ready
//! again.
TEST(lease_table, takes_nothing_from_a_report_that_was_overtaken) {
  lease_table Leases{lease_times()};
  target_status Leaving = reportOf(testTarget("t1", 1, true, 4001), 5, Start);
  Leaving.Announced.Leaving = true;
  Leaving.Sequence = 8;
  EXPECT_TRUE(Leases.targetHeard(Leaving, Commit));
  target_status Delayed = reportOf(testTarget("t1", 1, true, 4001), 5, Start);
  Delayed.Sequence = 7;
  EXPECT_FALSE(Leases.targetHeard(Delayed, Commit));
  EXPECT_TRUE(Leases.findTarget("t1")->Announced.Leaving);
  target_status Restarted = reportOf(testTarget("t1", 2, true, 4001), 5, Start);
  Restarted.Announced.OrderedByCall = true;
  Restarted.Sequence = 1;
  EXPECT_TRUE(Leases.targetHeard(Restarted, Commit));
}

struct successor_case {
  std::string Name;
  std::uint64_t Incarnation;
  milliseconds After;
  bool Accepted;
};

void PrintTo(const successor_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class successor : public testing::TestWithParam<successor_case> {};

TEST_P(successor, of_a_host_is_heard_once_the_lease_has_run_out) {
  lease_table Leases{lease_times()};
  Leases.hostHeard(heartbeatOf("e1", 10, 5, Start), Commit);
  EXPECT_EQ(Leases.hostHeard(heartbeatOf("e1", GetParam().Incarnation, 5,
                                         Start + GetParam().After),
                             Commit),
            GetParam().Accepted);
}

TEST_P(successor, of_a_target_is_heard_once_the_lease_has_run_out) {
  lease_table Leases{lease_times()};
  Leases.targetHeard(reportOf(testTarget("t1", 10, true, 4001), 5, Start),
                     Commit);
  const auto Successor = testTarget("t1", GetParam().Incarnation, true, 4002);
  EXPECT_EQ(Leases.targetHeard(reportOf(Successor, 5, Start + GetParam().After),
                               Commit),
            GetParam().Accepted);
}

INSTANTIATE_TEST_SUITE_P(
    each_time, successor,
    testing::Values(
        successor_case{"same", 10, milliseconds(100), true},
        successor_case{"newer_at_once", 11, milliseconds(100), false},
        successor_case{"newer_within_the_drift", 11, Lease, false},
        successor_case{"newer_afterwards", 11, AfterLease, true},
        successor_case{"older_at_once", 9, milliseconds(100), false},
        successor_case{"older_afterwards", 9, AfterLease, false}));

//! One entry host that was last heard from at Start or by an earlier leader.
struct quiesce_case {
  std::string Name;
  std::uint64_t QuiescedIndex; //!< Reported; 0 if the host is silent. The
                               //!< revocation is at log index 10.
  bool Replaced;               //!< Incarnation 2 replaced incarnation 1.
  bool NewLeader; //!< The term began at Start, after the host had joined.
  bool Unknown;   //!< The term began at Start, before the host's join applied.
  milliseconds After;
  bool Quiesced;
};

void PrintTo(const quiesce_case &Case, std::ostream *Out) { *Out << Case.Name; }

class quiescence : public testing::TestWithParam<quiesce_case> {};

constexpr milliseconds InFlight{2000};
constexpr milliseconds AfterInFlight =
    Lease + InFlight + milliseconds(40); //!< Lease, deadline and clock drift.

TEST_P(quiescence, is_proved_by_the_host_or_by_time) {
  const quiesce_case &Case = GetParam();
  test_cluster Driven;
  lease_table Leases{lease_times()};
  if (Case.Unknown)
    Leases.startTerm(Driven.State, Start);
  Driven.joinHost("e1", 1);
  if (Case.Replaced)
    Driven.joinHost("e1", 2);
  if (Case.NewLeader)
    Leases.startTerm(Driven.State, Start);
  const std::uint64_t Incarnation = Case.Replaced ? 2 : 1;
  if (Case.QuiescedIndex > 0)
    Leases.hostHeard(
        heartbeatOf("e1", Incarnation, Case.QuiescedIndex, Start + Case.After),
        Commit);
  EXPECT_EQ(Leases.quiesced(Driven.State, 10, InFlight, Start + Case.After),
            Case.Quiesced);
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, quiescence,
    testing::Values(quiesce_case{"host_says_so", 10, false, true, false, Lease,
                                 true},
                    quiesce_case{"host_is_behind", 9, false, true, false,
                                 AfterInFlight, false},
                    quiesce_case{"silent_in_its_lease", 0, false, true, false,
                                 Lease, false},
                    quiesce_case{"silent_with_requests_in_flight", 0, false,
                                 true, false, AfterLease, false},
                    quiesce_case{"silent_for_long", 0, false, true, false,
                                 AfterInFlight, true},
                    quiesce_case{"joined_by_an_earlier_term", 0, false, false,
                                 true, Lease, false},
                    quiesce_case{"joined_by_an_earlier_term_long_ago", 0, false,
                                 false, true, AfterInFlight, true},
                    quiesce_case{"replaced_before_the_leader_changed", 10, true,
                                 true, false, AfterLease, false},
                    quiesce_case{"replaced_long_before", 10, true, true, false,
                                 AfterInFlight, true}));

TEST(lease_table, remembers_what_a_replaced_host_has_in_flight) {
  test_cluster Driven;
  lease_table Leases{lease_times()};
  Driven.joinHost("e1", 1);
  Leases.startTerm(Driven.State, Start);
  Driven.joinHost("e1", 2);
  ASSERT_TRUE(
      Leases.hostHeard(heartbeatOf("e1", 2, 10, Start + AfterLease), Commit));
  EXPECT_FALSE(Leases.quiesced(Driven.State, 10, InFlight, Start + AfterLease));
  ASSERT_TRUE(Leases.hostHeard(heartbeatOf("e1", 2, 10, Start + AfterInFlight),
                               Commit));
  EXPECT_TRUE(
      Leases.quiesced(Driven.State, 10, InFlight, Start + AfterInFlight));
}

TEST(lease_table, takes_a_target_of_an_earlier_term_for_live_at_first) {
  test_cluster Driven;
  Driven.setInventory(testInventory(4));
  lease_table Leases{lease_times()};
  Leases.startTerm(Driven.State, Start);
  Driven.joinTarget(testTarget("t1", 1, true, 4001));
  EXPECT_FALSE(Leases.targetExpired("t1", Start + Lease));
  EXPECT_TRUE(Leases.targetExpired("t1", Start + AfterLease));
}

TEST(lease_table, takes_a_host_of_an_earlier_term_for_live_at_first) {
  test_cluster Driven;
  lease_table Leases{lease_times()};
  Leases.startTerm(Driven.State, Start);
  Driven.joinHost("e1", 1);
  EXPECT_FALSE(Leases.hostExpired("e1", Start + Lease));
  EXPECT_TRUE(Leases.hostExpired("e1", Start + AfterLease));
  EXPECT_TRUE(planMembership(Driven.State, Leases, Start + Lease).empty());
}

TEST(lease_table, expires_no_member_because_of_a_stall_of_the_leader) {
  test_cluster Driven;
  lease_table Leases{lease_times()};
  Driven.joinHost("e1", 1);
  Driven.joinTarget(testTarget("t1", 1, true, 4001));
  Leases.startTerm(Driven.State, Start);
  const mono_time Resumed = Start + std::chrono::minutes(1);
  Leases.extendAfterStall(Resumed);
  EXPECT_TRUE(planMembership(Driven.State, Leases, Resumed).empty());
  EXPECT_TRUE(Leases.targetExpired("t1", Resumed + AfterLease));
}

// ---- member_planner --------------------------------------------------------

struct removal_case {
  std::string Name;
  unsigned DeadlineMs;
  unsigned IsolationMs;
  milliseconds Silence;
  bool Removed;
};

void PrintTo(const removal_case &Case, std::ostream *Out) { *Out << Case.Name; }

class silent_host : public testing::TestWithParam<removal_case> {};

TEST_P(silent_host, stays_a_member_until_all_it_may_serve_has_ended) {
  const removal_case &Case = GetParam();
  test_cluster Driven;
  Driven.setInventory(testInventory(4));
  Driven.setRules(testRules(Case.DeadlineMs, Case.IsolationMs));
  Driven.setRules(testRules(1));
  Driven.joinHost("e1", 1);
  lease_table Leases{lease_times()};
  Leases.startTerm(Driven.State, Start);
  const auto Commands =
      planMembership(Driven.State, Leases, Start + Case.Silence);
  EXPECT_EQ(std::any_of(Commands.begin(), Commands.end(),
                        [](const auto &Each) { return Each.has_host_left(); }),
            Case.Removed);
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, silent_host,
    testing::Values(
        removal_case{"short", 2000, 0, milliseconds(10200), true},
        removal_case{"too_early", 2000, 0, milliseconds(9900), false},
        removal_case{"long_deadline", 60000, 0, milliseconds(61000), false},
        removal_case{"long_deadline_over", 60000, 0, milliseconds(63000), true},
        removal_case{"isolation", 2000, 30000, milliseconds(31000), false},
        removal_case{"isolation_over", 2000, 30000, milliseconds(33000),
                     true}));

TEST(member_planner, settles_a_replaced_host_once_its_predecessor_has_ended) {
  test_cluster Driven;
  Driven.setInventory(testInventory(4));
  Driven.setRules(testRules(2000));
  Driven.joinHost("e1", 1);
  Driven.joinHost("e1", 2);
  lease_table Leases{lease_times()};
  Leases.startTerm(Driven.State, Start);
  Leases.hostHeard(heartbeatOf("e1", 2, 5, Start + AfterInFlight), Commit);
  EXPECT_TRUE(planMembership(Driven.State, Leases, Start + Lease).empty());
  Driven.applyAll(planMembership(Driven.State, Leases, Start + AfterInFlight));
  EXPECT_FALSE(Driven.State.entryHosts().at("e1").Replaced);
}

} // namespace
} // namespace pomelo
