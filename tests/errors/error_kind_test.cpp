#include "pomeloswitch/errors/error_kind.hpp"

#include <gtest/gtest.h>

#include <set>

namespace pomelo {
namespace {

TEST(error_kind, every_kind_has_its_own_name) {
  std::set<std::string_view> Names;
  for (const error_answer &Answer : errorAnswers())
    EXPECT_TRUE(Names.insert(Answer.Name).second) << Answer.Name;
}

TEST(error_kind, a_kind_that_may_have_run_never_advises_a_plain_retry) {
  for (const error_answer &Answer : errorAnswers())
    if (Answer.RunState != run_state::NotRun) {
      EXPECT_NE(Answer.Retry, retry_advice::AfterDelay) << Answer.Name;
      EXPECT_NE(Answer.Retry, retry_advice::AfterFix) << Answer.Name;
    }
}

TEST(error_kind, every_kind_fails_a_command) {
  for (const error_answer &Answer : errorAnswers())
    EXPECT_GT(Answer.ExitCode, 0) << Answer.Name;
}

} // namespace
} // namespace pomelo
