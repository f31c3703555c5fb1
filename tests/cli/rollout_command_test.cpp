//! What pomeloctl asks of the administration API for roll-outs.
#include "cli/recording_api.hpp"
#include "pomeloswitch/cli/operator_commands.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

struct rollout_command {
  std::string Name;
  std::vector<std::string> Words;
  std::string Line;
  std::string Body;
};

void PrintTo(const rollout_command &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class rollout_command_line : public testing::TestWithParam<rollout_command> {};

// Guards against a command that reaches the wrong call or loses an argument.
TEST_P(rollout_command_line, makes_its_request) {
  recording_api Api;
  std::vector<std::string> Words = Api.options();
  Words.insert(Words.end(), GetParam().Words.begin(), GetParam().Words.end());
  EXPECT_EQ(runOperatorCommand(Words), 0);
  Api.stop();
  ASSERT_EQ(Api.Lines, std::vector{GetParam().Line});
  EXPECT_EQ(Api.Bodies, std::vector{GetParam().Body});
}

INSTANTIATE_TEST_SUITE_P(
    each, rollout_command_line,
    testing::Values(
        rollout_command{
            "start",
            {"rollout", "start", "archive", "v2", "--within=12"},
            "POST /v1/rollouts",
            R"({"service":"archive","version":"v2","duration_s":12})"},
        rollout_command{"show",
                        {"rollout", "show", "a&b"},
                        "GET /v1/rollout?service=a%26b",
                        ""},
        rollout_command{"list", {"rollout", "list"}, "GET /v1/rollouts", ""}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
