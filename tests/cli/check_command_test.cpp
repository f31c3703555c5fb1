//! Exit codes of "pomeloctl check", on which operators' scripts depend.
#include "cli/recording_api.hpp"
#include "pomeloswitch/cli/operator_commands.hpp"
#include "process_folder.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace pomelo {
namespace {

constexpr const char *Inventory =
    R"({"failure_domains": [{"name": "a", "region": "r"}],
        "services": [{"name": "desk"}], "client_accounts": []})";
constexpr const char *SoundRules =
    R"({"routes": [{"name": "all", "path_prefix": "/", "service": "desk"}]})";
constexpr const char *SlowRules =
    R"({"routes": [{"name": "all", "path_prefix": "/", "service": "desk",
                    "deadline_ms": 100, "aim_ms": 200}]})";
constexpr const char *WrongRules =
    R"({"routes": [{"name": "all", "path_prefix": "/", "service": "x"}]})";

std::string writeDocument(const std::string &Name, const std::string &Text) {
  static const process_folder Folder("check_command");
  return Folder.write(Name, Text);
}

struct check_command {
  std::string Name;
  std::string Rules;
  std::vector<std::string> Added; //!< Further words of the command line.
  int ExitCode;
  std::string Severity; //!< Of the only finding; empty for none.
};

void PrintTo(const check_command &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class check_command_line : public testing::TestWithParam<check_command> {};

// Guards against a script that takes a faulty configuration for a sound one.
TEST_P(check_command_line, ends_with_the_exit_code_of_the_worst_finding) {
  const check_command &Case = GetParam();
  std::vector<std::string> Words{"--json", "check",
                                 writeDocument("inventory", Inventory),
                                 writeDocument("rules", Case.Rules)};
  Words.insert(Words.end(), Case.Added.begin(), Case.Added.end());
  testing::internal::CaptureStdout();
  EXPECT_EQ(runOperatorCommand(Words), Case.ExitCode);
  const auto Output =
      boost::json::parse(testing::internal::GetCapturedStdout());
  const auto &Findings = Output.at("findings").as_array();
  ASSERT_EQ(Findings.size(), Case.Severity.empty() ? 0U : 1U);
  if (!Case.Severity.empty()) {
    EXPECT_EQ(Findings[0].at("severity").as_string(), Case.Severity);
    EXPECT_EQ(Findings[0].at("path").as_string().find("rules.routes.all"), 0U);
  }
}

std::vector<std::string> against(const std::string &Rules) {
  return {"--against-inventory=" +
              writeDocument("earlier_inventory", Inventory),
          "--against-rules=" + writeDocument("earlier_rules", Rules)};
}

INSTANTIATE_TEST_SUITE_P(
    each, check_command_line,
    testing::Values(check_command{"sound", SoundRules, {}, 0, ""},
                    check_command{"warning", SlowRules, {}, 1, "warning"},
                    check_command{"error", WrongRules, {}, 2, "error"},
                    check_command{"unchanged", SoundRules, against(SoundRules),
                                  0, ""},
                    check_command{"error_hides_differences", WrongRules,
                                  against(SoundRules), 2, "error"}),
    [](const auto &Info) { return Info.param.Name; });

struct unusable_check {
  std::string Name;
  std::vector<std::string> Words;
};

void PrintTo(const unusable_check &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class unusable_check_line : public testing::TestWithParam<unusable_check> {};

// Guards against a file that is not read and passes.
TEST_P(unusable_check_line, ends_with_exit_code_2) {
  std::vector<std::string> Words{"check",
                                 writeDocument("inventory", Inventory)};
  Words.insert(Words.end(), GetParam().Words.begin(), GetParam().Words.end());
  EXPECT_EQ(runOperatorCommand(Words), 2);
}

INSTANTIATE_TEST_SUITE_P(
    each, unusable_check_line,
    testing::Values(
        unusable_check{"missing_file", {"/nowhere/rules"}},
        unusable_check{"missing_earlier_file",
                       {writeDocument("rules", SoundRules),
                        "--against-inventory=/nowhere/inventory",
                        "--against-rules=/nowhere/rules"}},
        unusable_check{
            "half_of_the_earlier_version",
            {writeDocument("rules", SoundRules),
             "--against-rules=" + writeDocument("earlier_rules", SoundRules)}},
        unusable_check{"two_earlier_versions",
                       {writeDocument("rules", SoundRules), "--in-force",
                        "--against-inventory=/nowhere/inventory",
                        "--against-rules=/nowhere/rules"}}),
    [](const auto &Info) { return Info.param.Name; });

struct in_force_check {
  std::string Name;
  std::string InventoryInForce; //!< JSON.
  std::string RulesInForce;
  std::vector<std::string> Paths; //!< Of the differences.
};

void PrintTo(const in_force_check &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class check_against_in_force : public testing::TestWithParam<in_force_check> {};

std::string answerWith(const std::string &Document) {
  return R"({"version": 7, "document": )" + Document + "}";
}

// Guards against a comparison with something else than what is in force, and
// against a check that changes it.
TEST_P(check_against_in_force, reports_the_differences_and_changes_nothing) {
  recording_api Api({{"/v1/inventory", answerWith(GetParam().InventoryInForce)},
                     {"/v1/rules", answerWith(GetParam().RulesInForce)}});
  std::vector<std::string> Words = Api.options();
  for (const std::string &Word :
       {std::string("--json"), std::string("check"),
        writeDocument("inventory", Inventory),
        writeDocument("rules", SoundRules), std::string("--in-force")})
    Words.push_back(Word);
  testing::internal::CaptureStdout();
  EXPECT_EQ(runOperatorCommand(Words), 0);
  const auto Output =
      boost::json::parse(testing::internal::GetCapturedStdout());
  Api.stop();
  std::vector<std::string> Paths;
  for (const auto &Finding : Output.at("findings").as_array())
    Paths.emplace_back(Finding.at("path").as_string());
  EXPECT_EQ(Paths, GetParam().Paths);
  EXPECT_EQ(Api.Lines,
            (std::vector<std::string>{"GET /v1/inventory", "GET /v1/rules"}));
}

INSTANTIATE_TEST_SUITE_P(
    each, check_against_in_force,
    testing::Values(in_force_check{"unchanged", Inventory, SoundRules, {}},
                    in_force_check{"changed",
                                   Inventory,
                                   SlowRules,
                                   {"rules.routes.all.aim_ms",
                                    "rules.routes.all.deadline_ms"}},
                    in_force_check{"nothing_in_force",
                                   "null",
                                   "null",
                                   {"inventory.client_accounts",
                                    "inventory.failure_domains",
                                    "inventory.services", "rules.routes"}}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
