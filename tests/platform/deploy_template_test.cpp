#include "pomeloswitch/entry/stop_schedule.hpp"
#include "pomeloswitch/settings/json_document.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <regex>
#include <string>

namespace pomelo {
namespace {

//! The entry hosts' template, filled in for a deployment with \p GraceSeconds.
std::string entrySettings(const std::string &GraceSeconds) {
  std::string Text = readFile(POMELO_SOURCE_FOLDER "/deploy/entry.json.in");
  const auto Replace = [&Text](const std::string &Pattern,
                               const std::string &Value) {
    Text = std::regex_replace(Text, std::regex(Pattern), Value);
  };
  Replace(R"(\{\{#seeds\}\}[^]*?\{\{/seeds\}\})",
          R"({"id": "c1", "address": "127.0.0.1:1"})");
  Replace(R"(\{\{#bounds.grace_s\}\}([^]*?)\{\{/bounds.grace_s\}\})",
          GraceSeconds.empty() ? "" : "$1");
  Replace(R"(\{\{bounds.grace_s\}\})", GraceSeconds);
  Replace(R"(\{\{listen[^}]*\}\})", R"("127.0.0.1:1")");
  Replace(R"(\{\{[^}]*\|json\}\})", R"("a")");
  Replace(R"(\{\{[^}]*\}\})", "1");
  return Text;
}

struct grace_case {
  std::string GraceSeconds;
  std::int64_t ProcessEndsMs;
};

void PrintTo(const grace_case &Case, std::ostream *Out) {
  *Out << "grace of " << Case.GraceSeconds << " s";
}

class deploy_template : public testing::TestWithParam<grace_case> {
protected:
  void SetUp() override { std::filesystem::current_path(POMELO_SOURCE_FOLDER); }
};

// A stop of 5.6 s was written in the template, whatever the deployment gave.
TEST_P(deploy_template, gives_entry_hosts_the_deployments_stop_limit) {
  const entry_settings Settings =
      parseEntrySettings(entrySettings(GetParam().GraceSeconds));
  EXPECT_EQ(makeStopSchedule(Settings).ProcessEnds.count(),
            GetParam().ProcessEndsMs);
}

INSTANTIATE_TEST_SUITE_P(each_bound, deploy_template,
                         testing::Values(grace_case{"6", 5600},
                                         grace_case{"10", 9600},
                                         grace_case{"4.5", 4100},
                                         grace_case{"", 32600}));

} // namespace
} // namespace pomelo
