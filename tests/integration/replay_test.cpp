#include "caller/replay.hpp"
#include "emulator/deployment.hpp"
#include "judge/measures.hpp"
#include "judge/violations.hpp"
#include "pomeloswitch/settings/json_document.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace pomelo::emulator {
namespace {

constexpr std::chrono::seconds ReplayDuration{3};
constexpr const char *AccountPrefix = "bureau-";

//! Replays the first seconds of the recorded trace of Statika Jadran with its
//! inventory and rules.
class recorded_trace : public testing::Test {
protected:
  static void SetUpTestSuite() {
    const std::string Source = POMELO_SOURCE_FOLDER;
    deployment_plan Plan;
    Plan.FailureDomains = {"zg-a", "zg-b"};
    Plan.InventoryJson =
        readFile(Source + "/examples/statika-jadran/inventory.json");
    Plan.RulesJson = readFile(Source + "/examples/statika-jadran/rules.json");
    Plan.Targets = {{"archive-a", "archive", "zg-a", {"--checks-fence"}},
                    {"archive-b", "archive", "zg-b", {}},
                    {"certification-a", "certification", "zg-a", {}},
                    {"intake-b", "intake", "zg-b", {}}};
    Deployment = deployment::builder().withPlan(Plan).build();
    for (int Number = 1; Number <= 8; ++Number) {
      const std::string Account = AccountPrefix + std::to_string(Number);
      Options.Keys[Account] = Deployment->issueKey(Account);
    }
    for (const member *Entry : Deployment->membersOf("entry"))
      Options.Entries.push_back(
          {std::string(Entry->Description.at("caller_address").as_string()),
           std::string(Entry->Description.at("ops_address").as_string()), 1});
    Trace = caller::readTraceFile(Source + "/examples/traces/statika.jsonl");
    std::erase_if(Trace, [](const auto &R) { return R.At > ReplayDuration; });
    waitForKeys();
  }
  static void TearDownTestSuite() { Deployment.reset(); }

  static void waitForKeys() {
    for (const auto &[Account, Key] : Options.Keys)
      for (const std::string &Address : Deployment->callerAddresses())
        ASSERT_TRUE(waitUntil(
            [&, &Key = Key] {
              return call(Address, {"GET",
                                    "/reports/k",
                                    {{"Authorization", "Bearer " + Key}},
                                    {}})
                         .Status == 200;
            },
            std::chrono::seconds(5)));
  }

  static judge::journal journals() {
    std::vector<std::string> Files;
    for (const member *Target : Deployment->membersOf("target"))
      Files.push_back(Deployment->journalOf(Target->Id));
    return judge::readJournals(Files);
  }

  static inline std::unique_ptr<deployment> Deployment;
  static inline caller::replay_options Options;
  static inline caller::trace Trace;
};

TEST_F(recorded_trace, is_answered_whole_and_breaks_nothing_without_faults) {
  const auto Outcomes = caller::runReplay(Options, Trace);
  ASSERT_EQ(Outcomes.size(), Trace.size());
  const auto Failed = std::find_if(Outcomes.begin(), Outcomes.end(),
                                   [](const auto &O) { return !O.answered(); });
  EXPECT_EQ(Failed, Outcomes.end())
      << boost::json::serialize(caller::describeOutcome(*Failed));
  const judge::journal Journal = journals();
  EXPECT_GE(Journal.Executions.size(), Trace.size());
  for (const auto &Finding : judge::findViolations({Journal, Outcomes, {}, {}}))
    EXPECT_EQ(Finding.Count, 0U) << Finding.Name;
}

} // namespace
} // namespace pomelo::emulator
