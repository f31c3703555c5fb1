#include "caller/trace.hpp"
#include "pomeloswitch/settings/control_settings.hpp"
#include "pomeloswitch/settings/entry_settings.hpp"
#include "pomeloswitch/settings/inventory.hpp"
#include "pomeloswitch/settings/json_document.hpp"
#include "pomeloswitch/settings/rules.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <set>

namespace pomelo {
namespace {

//! Runs in the source folder, to which paths in the settings are relative.
class examples : public testing::Test {
protected:
  static void SetUpTestSuite() {
    std::filesystem::current_path(POMELO_SOURCE_FOLDER);
  }
};

struct user_case {
  std::string Folder;
  std::string Trace;
};

void PrintTo(const user_case &Case, std::ostream *Out) { *Out << Case.Trace; }

class example_user : public examples,
                     public testing::WithParamInterface<user_case> {};

TEST_P(example_user, has_valid_documents_that_cover_its_trace) {
  const std::string Folder = "examples/" + GetParam().Folder;
  const inventory Inventory =
      parseInventory(readFile(Folder + "/inventory.json"));
  const rules Rules = parseRules(readFile(Folder + "/rules.json"));
  EXPECT_NO_THROW(checkRulesAgainst(Rules, Inventory));
  EXPECT_EQ(Inventory.FailureDomains.size(), 3U);
  EXPECT_EQ(Inventory.ClientAccounts.size(), 8U);
  std::set<std::string> Ids;
  for (const auto &Request : caller::readTraceFile(
           "examples/traces/" + GetParam().Trace + ".jsonl")) {
    EXPECT_TRUE(Ids.insert(Request.Id).second) << Request.Id;
    EXPECT_TRUE(Inventory.findAccount(Request.Account)) << Request.Account;
    EXPECT_TRUE(std::any_of(Rules.Routes.begin(), Rules.Routes.end(),
                            [&Request](const route &Route) {
                              return Request.Path.starts_with(Route.PathPrefix);
                            }))
        << Request.Path;
  }
  EXPECT_FALSE(Ids.empty());
}

INSTANTIATE_TEST_SUITE_P(each_user, example_user,
                         testing::Values(user_case{"statika-jadran", "statika"},
                                         user_case{"hinokuni", "hinokuni"}));

TEST_F(examples, have_valid_settings) {
  EXPECT_NO_THROW(
      parseControlSettings(readFile("examples/settings/control-host.json")));
  EXPECT_NO_THROW(
      parseEntrySettings(readFile("examples/settings/entry-host.json")));
}

} // namespace
} // namespace pomelo
