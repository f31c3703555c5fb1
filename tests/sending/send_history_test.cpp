#include "pomeloswitch/sending/send_history.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pomelo {
namespace {

enum class how { NotRun, MayHaveRun, Lost, Unsent };

struct past_send {
  std::string Target;
  how How;
};

struct history_case {
  std::string Name;
  std::vector<past_send> Sends;
  error_kind Kind;
  send_terms Terms;
  bool MayTryAgain;
};

class sent_before : public testing::TestWithParam<history_case> {};

TEST_P(sent_before, decides_whether_it_may_be_sent_again) {
  send_history History;
  for (const past_send &Send : GetParam().Sends) {
    if (Send.How == how::Unsent) {
      History.unsent();
      continue;
    }
    History.sent(Send.Target);
    History.ended(Send.How != how::NotRun, Send.How == how::Lost);
  }
  EXPECT_EQ(History.mayTryAgain(GetParam().Kind, GetParam().Terms),
            GetParam().MayTryAgain);
}

constexpr auto Failed = error_kind::UpstreamFailed;
constexpr auto Unknown = error_kind::OutcomeUnknown;
constexpr send_terms Once{2, false, false};
constexpr send_terms Often{2, true, false};
constexpr send_terms KeyedOnce{2, false, true};

INSTANTIATE_TEST_SUITE_P(
    each_past, sent_before,
    testing::Values(
        history_case{"not_run", {{"a", how::NotRun}}, Failed, Once, true},
        history_case{
            "may_have_run", {{"a", how::MayHaveRun}}, Unknown, Once, false},
        history_case{
            "idempotent", {{"a", how::MayHaveRun}}, Unknown, Often, true},
        history_case{"enough_targets",
                     {{"a", how::NotRun}, {"b", how::NotRun}},
                     Failed,
                     Often,
                     false},
        history_case{"unsent_ones_do_not_count",
                     {{"", how::Unsent}, {"", how::Unsent}, {"a", how::NotRun}},
                     Failed,
                     Once,
                     true},
        history_case{
            "the_owner_again",
            {{"a", how::NotRun}, {"a", how::NotRun}, {"a", how::NotRun}},
            Failed,
            KeyedOnce,
            true},
        history_case{"not_for_ever",
                     {{"a", how::NotRun},
                      {"a", how::NotRun},
                      {"a", how::NotRun},
                      {"a", how::NotRun}},
                     Failed,
                     KeyedOnce,
                     false},
        history_case{"unsent_not_for_ever",
                     {{"", how::Unsent},
                      {"", how::Unsent},
                      {"", how::Unsent},
                      {"", how::Unsent}},
                     Failed,
                     KeyedOnce,
                     false},
        history_case{"two_crashes",
                     {{"a", how::Lost}, {"b", how::Lost}},
                     Unknown,
                     send_terms{5, true, false},
                     false}),
    [](const auto &Case) { return Case.param.Name; });

TEST(send_history, keeps_to_the_targets_that_got_it_once_they_are_enough) {
  send_history History;
  History.sent("a");
  History.ended(false, false);
  EXPECT_TRUE(History.mayGoTo("b", 2));
  History.sent("b");
  History.ended(false, false);
  EXPECT_TRUE(History.mayGoTo("a", 2));
  EXPECT_FALSE(History.mayGoTo("c", 2));
}

TEST(send_history, does_not_say_that_nothing_ran_after_a_send_that_may_have) {
  send_history History;
  History.sent("a");
  History.ended(true, false);
  History.sent("b");
  History.ended(false, false);
  const pomelo_error Refusal(error_kind::Overloaded, "full");
  EXPECT_EQ(History.truthful(Refusal).kind(), error_kind::OutcomeUnknown);
  EXPECT_EQ(send_history().truthful(Refusal).kind(), error_kind::Overloaded);
}

} // namespace
} // namespace pomelo
