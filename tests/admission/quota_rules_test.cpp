#include "pomeloswitch/admission/host_quota.hpp"
#include "pomeloswitch/admission/rate_ledger.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::seconds;

constexpr double Rate = 1000;
constexpr double Burst = 1000;

//! Two registered hosts and a leader; the tests deliver the messages.
class quota_rules : public testing::Test {
protected:
  quota_rules() {
    Ledger.startTerm(1, Now);
    // The leader grants only after both hosts have reported that they hold
    // nothing.
    for (unsigned Round = 0; Round < 2; ++Round) {
      exchange("a", A);
      exchange("b", B);
    }
  }

  std::optional<quota_grant> answer(const std::string &Host,
                                    const quota_report &Report) {
    const std::vector<client_account> Accounts{{"acc", Rate, Burst}};
    return Ledger.answer({Host, 1}, Report, Accounts, Registered, Now);
  }

  quota_report reportOf(host_quota &Quota) {
    quota_report Report = Quota.report(Now);
    Report.Sequence = ++Sequence;
    return Report;
  }

  //! Delivers one heartbeat and its answer without delay.
  void exchange(const std::string &Host, host_quota &Quota) {
    const quota_report Report = reportOf(Quota);
    if (const auto Grant = answer(Host, Report))
      Quota.apply(Report.Sequence, *Grant, Now + Lease, Now);
  }

  //! Registers more hosts, until the rate is too low to be divided among all.
  void registerHosts(unsigned Count) {
    for (unsigned Number = 0; Number < Count; ++Number) {
      const std::string Id = "other" + std::to_string(Number);
      Registered[Id] = {Id, 1, "d"};
    }
  }

  void arrive(host_quota &Quota, unsigned Count) {
    for (unsigned Number = 0; Number < Count; ++Number)
      Quota.bucket("acc").admitArrival(Now);
  }

  //! A request at host "a" finds no token and gets one by a heartbeat.
  void admitAfterWait() {
    ASSERT_FALSE(A.bucket("acc").admitArrival(Now));
    ASSERT_TRUE(A.bucket("acc").beginWait(Now, milliseconds(100)));
    exchange("a", A);
    ASSERT_TRUE(A.bucket("acc").admitWaiting(Now));
    A.bucket("acc").endWait();
  }

  //! Creates enough demand for \p Quota to lease the whole rate.
  void occupy(const std::string &Host, host_quota &Quota) {
    for (unsigned Round = 0; Round < 10; ++Round) {
      arrive(Quota, 400);
      exchange(Host, Quota);
      Now += milliseconds(100);
    }
    arrive(Quota, 400);
  }

  //! Admits requests until \p Quota has no tokens left; returns their number.
  unsigned drain(host_quota &Quota) {
    unsigned Count = 0;
    while (Quota.bucket("acc").admitWaiting(Now))
      ++Count;
    return Count;
  }

  const milliseconds Lease = lease_times().HostLease;
  const milliseconds Surely = lease_times().withDrift(Lease);
  mono_time Now{seconds(1000)};
  std::uint64_t Sequence = 0;
  entry_map Registered{{"a", {"a", 1, "d"}}, {"b", {"b", 1, "d"}}};
  rate_ledger Ledger{lease_times()};
  host_quota A{[] {}};
  host_quota B{[] {}};
};

TEST_F(quota_rules, rate_taken_back_counts_until_the_host_has_acknowledged_it) {
  occupy("a", A);
  exchange("a", A);
  ASSERT_NEAR(A.report(Now).Accounts.at(0).RatePerSecond, Rate, Rate * 0.1);
  Now += seconds(1);
  exchange("b", B);
  arrive(B, 200);
  // The leader learns that the demand of A is gone, but its answer is lost.
  const quota_report Unanswered = reportOf(A);
  ASSERT_TRUE(answer("a", Unanswered));
  exchange("b", B);
  exchange("b", B);
  EXPECT_LE(Ledger.find("acc")->leasedRate(), Rate);
  EXPECT_LE(A.report(Now).Accounts.at(0).RatePerSecond +
                B.report(Now).Accounts.at(0).RatePerSecond,
            Rate);
  exchange("a", A);
  exchange("a", A);
  arrive(B, 200);
  exchange("b", B);
  EXPECT_GT(B.report(Now).Accounts.at(0).RatePerSecond, Rate * 0.9);
}

TEST_F(quota_rules, account_that_is_used_no_more_is_reported_no_more) {
  registerHosts(100);
  Now += seconds(1);
  exchange("b", B);
  arrive(A, 1);
  ASSERT_TRUE(A.bucket("acc").beginWait(Now, milliseconds(100)));
  exchange("a", A);
  ASSERT_TRUE(A.bucket("acc").admitWaiting(Now));
  A.bucket("acc").endWait();
  // A token that is kept for the next request is given back within a second.
  for (unsigned Round = 0; Round < 6; ++Round) {
    Now += milliseconds(200);
    exchange("a", A);
  }
  EXPECT_TRUE(A.report(Now).Accounts.empty());
  arrive(B, 1);
  exchange("b", B); // The bucket fills when it is used.
  EXPECT_EQ(Ledger.find("acc")->stored(), Burst);
}

//! Guards against a wait of each request for an answer of the leader.
TEST_F(quota_rules, next_request_of_a_small_account_finds_a_token) {
  registerHosts(100);
  for (unsigned Request = 0; Request < 2; ++Request) {
    Now += milliseconds(400);
    exchange("a", A);
    ASSERT_NO_FATAL_FAILURE(admitAfterWait());
  }
  for (unsigned Request = 0; Request < 5; ++Request) {
    Now += milliseconds(200);
    exchange("a", A);
    Now += milliseconds(200);
    EXPECT_TRUE(A.bucket("acc").admitArrival(Now)) << Request;
  }
}

//! Guards against tokens that lie, and are reported, at hosts which an account
//! reaches once: with many hosts that is most of them.
TEST_F(quota_rules, account_that_comes_once_is_given_no_token_ahead) {
  registerHosts(100);
  Now += seconds(2);
  exchange("a", A);
  ASSERT_NO_FATAL_FAILURE(admitAfterWait());
  EXPECT_EQ(drain(A), 0U);
  exchange("a", A);
  Now += milliseconds(200);
  EXPECT_TRUE(A.report(Now).Accounts.empty());
}

//! Guards against requests that wait for the next heartbeat: tokens come with
//! the answer to a token report, and last as long as those of the heartbeat.
TEST_F(quota_rules, token_report_brings_tokens_and_renews_nothing) {
  registerHosts(100);
  Now += seconds(1);
  exchange("a", A);
  const mono_time Answered = Now;
  account_bucket &Bucket = A.bucket("acc");
  Now += milliseconds(100);
  ASSERT_FALSE(Bucket.admitArrival(Now));
  ASSERT_TRUE(Bucket.beginWait(Now, milliseconds(100)));
  quota_report Report = A.tokenReport(Now);
  Report.Sequence = ++Sequence;
  ASSERT_EQ(Report.Accounts.size(), 1U);
  const auto Grant = Ledger.answerTokens({"a", 1}, Report, Now);
  ASSERT_TRUE(Grant);
  ASSERT_TRUE(A.applyTokens(Report.Sequence, *Grant, Now));
  EXPECT_TRUE(Bucket.hasToken(Now));
  EXPECT_TRUE(Bucket.hasToken(Answered + Lease - milliseconds(1)));
  EXPECT_FALSE(Bucket.hasToken(Answered + Lease));
  // The same and later answers hand out nothing more.
  EXPECT_FALSE(A.applyTokens(Report.Sequence, *Grant, Now));
  EXPECT_FALSE(Ledger.answerTokens({"a", 1}, Report, Now));
}

//! What may make the ledger leave a token report without an answer.
struct unanswered_case {
  std::string Name;
  std::string Host = "a";
  std::uint64_t Incarnation = 1;
  milliseconds Later{0};
  std::uint64_t AddToTerm = 0;
  std::uint64_t AddToEpoch = 0;
};

void PrintTo(const unanswered_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class unanswered_token_report
    : public quota_rules,
      public testing::WithParamInterface<unanswered_case> {};

TEST_P(unanswered_token_report, takes_nothing_from_the_bucket) {
  const unanswered_case &Case = GetParam();
  registerHosts(100);
  exchange("a", A);
  Now += Case.Later;
  A.bucket("acc").admitArrival(Now);
  ASSERT_TRUE(A.bucket("acc").beginWait(Now, milliseconds(100)));
  quota_report Report = A.tokenReport(Now);
  Report.Sequence = ++Sequence;
  Report.Term += Case.AddToTerm;
  Report.Epoch += Case.AddToEpoch;
  const double Before = Ledger.find("acc")->stored();
  EXPECT_FALSE(Ledger.answerTokens({Case.Host, Case.Incarnation}, Report, Now));
  EXPECT_EQ(Ledger.find("acc")->stored(), Before);
}

INSTANTIATE_TEST_SUITE_P(
    each_reason, unanswered_token_report,
    testing::Values(unanswered_case{"unknown_host", "x"},
                    unanswered_case{"other_incarnation", "a", 2},
                    unanswered_case{"lease_ended", "a", 1, milliseconds(1300)},
                    unanswered_case{"other_term", "a", 1, milliseconds(0), 1},
                    unanswered_case{"other_epoch", "a", 1, milliseconds(0), 0,
                                    1}));

TEST_F(quota_rules, token_answer_of_another_term_or_epoch_is_ignored) {
  registerHosts(100);
  exchange("a", A);
  ASSERT_FALSE(A.bucket("acc").admitArrival(Now));
  const quota_report Report = A.report(Now);
  for (const auto &[Term, Epoch] : {std::pair{Report.Term + 1, Report.Epoch},
                                    std::pair{Report.Term, Report.Epoch + 1}}) {
    const quota_grant Other{
        Term, Epoch, false, {{"acc", 1, 0, 0, 5, 0, false}}};
    EXPECT_FALSE(A.applyTokens(++Sequence, Other, Now));
    EXPECT_EQ(drain(A), 0U);
  }
}

//! Guards against a host that asks again and again for what the leader has not.
TEST_F(quota_rules, account_that_asked_in_vain_asks_again_after_a_heartbeat) {
  registerHosts(100);
  exchange("a", A);
  account_bucket &Bucket = A.bucket("acc");
  for (unsigned Request = 0; Request < 2; ++Request) {
    Bucket.admitArrival(Now);
    ASSERT_TRUE(Bucket.beginWait(Now, milliseconds(100)));
  }
  EXPECT_EQ(A.tokenReport(Now).Accounts.size(), 1U);
  EXPECT_TRUE(A.tokenReport(Now).Accounts.empty());
  EXPECT_TRUE(A.hasShortage(Now));
  Ledger.startTerm(2, Now);
  exchange("a", A);
  EXPECT_EQ(A.tokenReport(Now).Accounts.size(), 1U);
}

TEST_F(quota_rules, tokens_ahead_leave_half_of_the_burst_to_waiting_requests) {
  registerHosts(100);
  account_bucket &Bucket = A.bucket("acc");
  const auto TokensForOneWaitingRequest = [&] {
    Now += milliseconds(400);
    Bucket.admitArrival(Now);
    EXPECT_TRUE(Bucket.beginWait(Now, milliseconds(100)));
    Now += milliseconds(50);
    exchange("a", A);
    Bucket.endWait();
    return drain(A);
  };
  EXPECT_EQ(TokensForOneWaitingRequest(), 1U);
  EXPECT_EQ(TokensForOneWaitingRequest(), 2U);
}

TEST_F(quota_rules, rate_of_a_silent_host_is_free_once_its_lease_surely_ended) {
  exchange("b", B);
  occupy("a", A);
  exchange("a", A);
  const mono_time Answered = Now;
  const auto GrantedToB = [&] {
    arrive(B, 400);
    exchange("b", B);
    exchange("b", B);
    return B.report(Now).Accounts.at(0).RatePerSecond;
  };
  Now = Answered + Surely;
  EXPECT_LT(GrantedToB(), Rate * 0.1);
  Now = Answered + Surely + milliseconds(1);
  EXPECT_GT(GrantedToB(), Rate * 0.9);
}

TEST_F(quota_rules, stored_tokens_never_exceed_the_burst) {
  for (unsigned Round = 0; Round < 200; ++Round) {
    Now += milliseconds(50);
    arrive(A, Round % 60);
    if (Round % 3 != 0)
      exchange("a", A);
    exchange("b", B);
    ASSERT_LE(Ledger.find("acc")->stored(), Burst + 1e-6);
  }
}

TEST_F(quota_rules, host_tells_whether_the_leader_has_answered_since) {
  occupy("a", A);
  const auto Asked = Now += milliseconds(1);
  EXPECT_FALSE(A.bucket("acc").answeredSince(Asked));
  arrive(A, 1);
  exchange("a", A);
  EXPECT_TRUE(A.bucket("acc").answeredSince(Asked));
}

TEST_F(quota_rules, host_has_nothing_after_its_lease) {
  occupy("a", A);
  exchange("a", A);
  Now += Lease - milliseconds(1);
  EXPECT_TRUE(A.bucket("acc").admitWaiting(Now));
  Now += milliseconds(1);
  EXPECT_EQ(drain(A), 0U);
}

TEST_F(quota_rules, restarted_host_begins_with_nothing) {
  occupy("a", A);
  host_quota Restarted([] {});
  EXPECT_EQ(drain(Restarted), 0U);
}

TEST_F(quota_rules, duplicated_and_late_answers_hand_out_nothing_twice) {
  exchange("a", A);
  Now += seconds(1);
  arrive(A, 100);
  const quota_report Report = reportOf(A);
  const quota_grant Grant = *answer("a", Report);
  A.apply(Report.Sequence, Grant, Now + Lease, Now);
  const unsigned First = drain(A);
  EXPECT_GT(First, 10U);
  A.apply(Report.Sequence, Grant, Now + Lease, Now);
  A.apply(Report.Sequence - 1, Grant, Now + Lease, Now);
  EXPECT_EQ(drain(A), 0U);
  EXPECT_FALSE(answer("a", Report));
}

TEST_F(quota_rules, new_leader_keeps_what_hosts_hold_and_grants_nothing_more) {
  occupy("a", A);
  exchange("a", A);
  exchange("b", B);
  rate_ledger Next{lease_times()};
  Next.startTerm(2, Now);
  std::swap(Ledger, Next);
  const double Held = A.report(Now).Accounts.at(0).RatePerSecond;
  for (unsigned Round = 0; Round < 3; ++Round) {
    arrive(A, 400);
    exchange("a", A);
  }
  // B has not yet reported what it holds.
  EXPECT_EQ(A.report(Now).Accounts.at(0).RatePerSecond, Held);
  Now += milliseconds(500);
  arrive(A, 400);
  exchange("a", A);
  EXPECT_EQ(Ledger.find("acc")->leasedRate(), Held);
  exchange("b", B);
  exchange("b", B);
  Now += milliseconds(100);
  arrive(A, 400);
  exchange("a", A);
  EXPECT_TRUE(A.bucket("acc").isDecided(Now));
}

//! The account is too small to be divided among hosts and uses its whole rate.
//! No grants are made for 500 ms before the term of the new leader; requests
//! waiting then must be admitted at the rate of that gap.
TEST_F(quota_rules, requests_that_came_between_leaders_find_their_rate) {
  constexpr double SmallRate = 30;
  const std::vector<client_account> Accounts{{"acc", SmallRate, SmallRate}};
  const auto Heartbeat = [&](const std::string &Host, host_quota &Quota) {
    const quota_report Report = reportOf(Quota);
    if (const auto Grant =
            Ledger.answer({Host, 1}, Report, Accounts, Registered, Now))
      Quota.apply(Report.Sequence, *Grant, Now + Lease, Now);
  };
  for (unsigned Round = 0; Round < 10; ++Round) {
    Now += milliseconds(100);
    arrive(A, 2);
    Heartbeat("a", A);
    Heartbeat("b", B);
  }
  Now += milliseconds(500);
  Ledger.startTerm(2, Now);
  for (unsigned Number = 0; Number < 14; ++Number)
    EXPECT_TRUE(A.bucket("acc").beginWait(Now, milliseconds(100)));
  Heartbeat("a", A);
  Heartbeat("a", A);
  EXPECT_FALSE(A.bucket("acc").isDecided(Now));
  EXPECT_TRUE(A.bucket("acc").beginWait(Now, milliseconds(100)));
  Heartbeat("b", B);
  Heartbeat("b", B);
  Heartbeat("a", A);
  EXPECT_TRUE(A.bucket("acc").isDecided(Now));
  EXPECT_EQ(drain(A), 15U);
  Heartbeat("a", A);
  EXPECT_LE(Ledger.find("acc")->stored(), 1);
}

//! Guards against a bucket that starts to fill only at the first report: after
//! the loss of all processes, hosts first report when the leases of their
//! predecessors have expired.
TEST_F(quota_rules, bucket_fills_from_the_beginning_of_the_term) {
  constexpr double SmallRate = 30;
  const std::vector<client_account> Accounts{{"acc", SmallRate, SmallRate}};
  host_quota Fresh{[] {}};
  Registered = {{"new", {"new", 1, "d"}}, {"late", {"late", 1, "d"}}};
  Ledger.startTerm(2, Now);
  Now += Surely + milliseconds(100);
  for (unsigned Number = 0; Number < 25; ++Number) {
    Fresh.bucket("acc").admitArrival(Now);
    EXPECT_TRUE(Fresh.bucket("acc").beginWait(Now, milliseconds(100)));
  }
  for (unsigned Round = 0; Round < 2; ++Round) {
    const quota_report Report = reportOf(Fresh);
    const auto Grant =
        Ledger.answer({"new", 1}, Report, Accounts, Registered, Now);
    ASSERT_TRUE(Grant);
    Fresh.apply(Report.Sequence, *Grant, Now + Lease, Now);
  }
  EXPECT_GE(drain(Fresh), 25U);
}

TEST_F(quota_rules, new_leader_does_not_wait_for_a_lost_host_for_ever) {
  occupy("a", A);
  Ledger.startTerm(2, Now);
  exchange("a", A);
  exchange("a", A);
  EXPECT_FALSE(A.bucket("acc").isDecided(Now));
  Now += Surely;
  exchange("a", A);
  EXPECT_FALSE(A.bucket("acc").isDecided(Now));
  Now += milliseconds(1);
  arrive(A, 100);
  exchange("a", A);
  EXPECT_TRUE(A.bucket("acc").isDecided(Now));
}

TEST_F(quota_rules, answer_of_a_leader_that_was_left_is_ignored) {
  occupy("a", A);
  const quota_report Report = reportOf(A);
  const quota_grant Late = *answer("a", Report);
  Ledger.startTerm(2, Now);
  exchange("a", A);
  drain(A);
  quota_grant More = Late;
  More.Accounts.at(0).BurstTotal += 500;
  A.apply(++Sequence, More, Now + Lease, Now);
  EXPECT_EQ(drain(A), 0U);
}

TEST_F(quota_rules, unused_rate_on_its_way_back_is_bounded) {
  occupy("a", A);
  exchange("a", A);
  double Depth = A.report(Now).Accounts.at(0).Depth;
  double Surplus = 0;
  for (unsigned Round = 0; Round < 6; ++Round) {
    Now += milliseconds(200);
    Surplus = A.report(Now).Accounts.at(0).Surplus;
  }
  EXPECT_GT(Surplus, 0);
  EXPECT_LE(Surplus, surplusLimit(Depth) * 2);
}

TEST_F(quota_rules, removed_account_that_returns_finds_its_leases_counted) {
  occupy("a", A);
  exchange("a", A);
  const quota_report Empty{++Sequence, 1, 0, {}};
  Ledger.answer({"b", 1}, Empty, {}, Registered, Now);
  ASSERT_NE(Ledger.find("acc"), nullptr);
  EXPECT_GT(Ledger.find("acc")->leasedRate(), Rate * 0.9);
}

TEST_F(quota_rules, retry_time_follows_from_the_rate) {
  occupy("a", A);
  exchange("a", A);
  drain(A);
  const auto Due = A.bucket("acc").retryAfter();
  EXPECT_GE(Due, milliseconds(1));
  EXPECT_LE(Due, milliseconds(3));
}

} // namespace
} // namespace pomelo
