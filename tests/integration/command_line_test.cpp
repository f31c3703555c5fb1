//! Command lines that a program does not allow: one line and exit code 2.
#include "emulator/child_process.hpp"
#include "pomeloswitch/cli/command_line.hpp"
#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/settings/json_document.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

namespace pomelo {
namespace {

constexpr std::chrono::seconds EndsWithin{20};

struct command_case {
  std::string Name;
  std::string Program; //!< Path in the build folder.
  std::vector<std::string> Arguments;
};

void PrintTo(const command_case &Case, std::ostream *Out) { *Out << Case.Name; }

std::string nameOf(const testing::TestParamInfo<command_case> &Info) {
  return Info.param.Name;
}

class bad_command_line : public testing::TestWithParam<command_case> {};

TEST_P(bad_command_line, is_told_in_one_line_with_exit_code_2) {
  const command_case &Case = GetParam();
  const auto Output = std::filesystem::temp_directory_path() /
                      ("pomelo_command_line_" + Case.Name + ".txt");
  std::filesystem::remove(Output);
  emulator::child_process Process(std::string(POMELO_BINARY_FOLDER) + "/" +
                                      Case.Program,
                                  Case.Arguments, Output.string());
  EXPECT_EQ(Process.wait(EndsWithin), 2);
  const std::string Text = readFile(Output.string());
  EXPECT_EQ(std::count(Text.begin(), Text.end(), '\n'), 1) << Text;
  std::filesystem::remove(Output);
}

//! Options without which the stand-in target does not start.
std::vector<std::string> targetArguments(std::string Added) {
  return {"--id=a",         "--service=s",  "--domain=d",
          "--credential=c", "--announce=x", std::move(Added)};
}

INSTANTIATE_TEST_SUITE_P(
    each_program, bad_command_line,
    testing::Values(
        command_case{"entry_unknown", "apps/pomelo-entry", {"--nonsense"}},
        command_case{"entry_nothing", "apps/pomelo-entry", {}},
        command_case{"control_unknown", "apps/pomelo-control", {"--nonsense"}},
        command_case{"control_no_value", "apps/pomelo-control", {"--settings"}},
        command_case{"ctl_unknown", "apps/pomeloctl", {"--nonsense"}},
        command_case{"ctl_base_is_a_word",
                     "apps/pomeloctl",
                     {"--base=abc", "--control=127.0.0.1:1",
                      "--credential=/dev/null", "key", "issue", "a"}},
        command_case{"ctl_base_is_negative",
                     "apps/pomeloctl",
                     {"--base=-1", "--control=127.0.0.1:1",
                      "--credential=/dev/null", "key", "issue", "a"}},
        command_case{"ctl_base_of_a_read",
                     "apps/pomeloctl",
                     {"--base=abc", "--control=127.0.0.1:1",
                      "--credential=/dev/null", "status"}},
        command_case{"ctl_rollout_without_time_limit",
                     "apps/pomeloctl",
                     {"--control=127.0.0.1:1", "--credential=/dev/null",
                      "rollout", "start", "s", "v2"}},
        command_case{"ctl_rollout_time_limit_is_a_word",
                     "apps/pomeloctl",
                     {"--control=127.0.0.1:1", "--credential=/dev/null",
                      "rollout", "start", "s", "v2", "--within=soon"}},
        command_case{"ctl_time_limit_of_a_read",
                     "apps/pomeloctl",
                     {"--control=127.0.0.1:1", "--credential=/dev/null",
                      "rollout", "list", "--within=5"}},
        command_case{"ctl_missing_log",
                     "apps/pomeloctl",
                     {"explain", "id", "/nowhere/a", "/nowhere/b"}},
        command_case{"caller_unknown", "tools/pomelo-caller", {"--nonsense"}},
        command_case{
            "caller_seed_is_a_word",
            "tools/pomelo-caller",
            {"generate", "--shape=statika", "--seconds=1", "--seed=abc"}},
        command_case{"demo_unknown", "tools/pomelo-demo", {"--nonsense"}},
        command_case{"demo_hosts_is_a_word",
                     "tools/pomelo-demo",
                     {"--control-hosts=abc"}},
        command_case{"proxy_unknown", "tools/fault-proxy", {"--nonsense"}},
        command_case{"target_unknown", "tools/standin-target",
                     targetArguments("--nonsense")},
        command_case{"target_slots_is_a_word", "tools/standin-target",
                     targetArguments("--slots=abc")}),
    nameOf);

} // namespace
} // namespace pomelo
