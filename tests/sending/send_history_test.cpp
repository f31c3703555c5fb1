#include "pomeloswitch/sending/send_history.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pomelo {
namespace {

enum class outcome { NotRun, MayHaveRun, Lost, Unsent };

struct earlier_send {
  std::string Target;
  outcome Outcome;
};

struct history_case {
  std::string Name;
  std::vector<earlier_send> Sends;
  error_kind Kind;
  retry_policy Policy;
  bool MayRetry;
};

class retry_decision : public testing::TestWithParam<history_case> {};

TEST_P(retry_decision, decides_whether_it_may_be_sent_again) {
  send_history History;
  for (const earlier_send &Send : GetParam().Sends) {
    if (Send.Outcome == outcome::Unsent) {
      History.recordUnsent();
      continue;
    }
    History.recordSend(Send.Target);
    History.recordOutcome(Send.Outcome != outcome::NotRun,
                          Send.Outcome == outcome::Lost);
  }
  EXPECT_EQ(History.mayRetry(GetParam().Kind, GetParam().Policy),
            GetParam().MayRetry);
}

constexpr auto Failed = error_kind::UpstreamFailed;
constexpr auto Unknown = error_kind::OutcomeUnknown;
constexpr retry_policy Once{2, false, false};
constexpr retry_policy Idempotent{2, true, false};
constexpr retry_policy KeyedOnce{2, false, true};

INSTANTIATE_TEST_SUITE_P(
    each_past, retry_decision,
    testing::Values(
        history_case{"not_run", {{"a", outcome::NotRun}}, Failed, Once, true},
        history_case{
            "may_have_run", {{"a", outcome::MayHaveRun}}, Unknown, Once, false},
        history_case{"idempotent",
                     {{"a", outcome::MayHaveRun}},
                     Unknown,
                     Idempotent,
                     true},
        history_case{"enough_targets",
                     {{"a", outcome::NotRun}, {"b", outcome::NotRun}},
                     Failed,
                     Idempotent,
                     false},
        history_case{"unsent_ones_do_not_count",
                     {{"", outcome::Unsent},
                      {"", outcome::Unsent},
                      {"a", outcome::NotRun}},
                     Failed,
                     Once,
                     true},
        history_case{"the_owner_again",
                     {{"a", outcome::NotRun},
                      {"a", outcome::NotRun},
                      {"a", outcome::NotRun}},
                     Failed,
                     KeyedOnce,
                     true},
        history_case{"not_for_ever",
                     {{"a", outcome::NotRun},
                      {"a", outcome::NotRun},
                      {"a", outcome::NotRun},
                      {"a", outcome::NotRun}},
                     Failed,
                     KeyedOnce,
                     false},
        history_case{"unsent_not_for_ever",
                     {{"", outcome::Unsent},
                      {"", outcome::Unsent},
                      {"", outcome::Unsent},
                      {"", outcome::Unsent}},
                     Failed,
                     KeyedOnce,
                     false},
        history_case{"two_crashes",
                     {{"a", outcome::Lost}, {"b", outcome::Lost}},
                     Unknown,
                     retry_policy{5, true, false},
                     false}),
    [](const auto &Case) { return Case.param.Name; });

TEST(send_history, keeps_to_the_targets_that_got_it_once_they_are_enough) {
  send_history History;
  History.recordSend("a");
  History.recordOutcome(false, false);
  EXPECT_TRUE(History.maySendTo("b", 2));
  History.recordSend("b");
  History.recordOutcome(false, false);
  EXPECT_TRUE(History.maySendTo("a", 2));
  EXPECT_FALSE(History.maySendTo("c", 2));
}

TEST(send_history, does_not_say_that_nothing_ran_after_a_send_that_may_have) {
  send_history History;
  History.recordSend("a");
  History.recordOutcome(true, false);
  History.recordSend("b");
  History.recordOutcome(false, false);
  const pomelo_error Refusal(error_kind::Overloaded, "full");
  EXPECT_EQ(History.withEarlierSends(Refusal).kind(),
            error_kind::OutcomeUnknown);
  EXPECT_EQ(send_history().withEarlierSends(Refusal).kind(),
            error_kind::Overloaded);
}

} // namespace
} // namespace pomelo
