#include "emulator/deployment.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace pomelo::emulator {
namespace {

using std::chrono::seconds;

constexpr std::string_view CrashPath = "/standin/crash";
constexpr std::size_t TargetCount = 5;

std::string crashRules(bool Idempotent) {
  return fmt::format(
      R"({{"routes": [{{"name": "all", "path_prefix": "/",
                       "service": "registry", "idempotent": {}}}]}})",
      Idempotent);
}

class poison_request : public testing::TestWithParam<bool> {
protected:
  void SetUp() override {
    deployment_plan Plan;
    Plan.FailureDomains = {"a", "b"};
    Plan.RulesJson = crashRules(GetParam());
    for (std::size_t Number = 0; Number < TargetCount; ++Number)
      Plan.Targets.push_back({fmt::format("t{}", Number),
                              "registry",
                              Plan.FailureDomains[Number % 2],
                              {}});
    Deployment = deployment::builder().withPlan(Plan).build();
    Key = Deployment->issueKey("large");
    for (std::size_t Host = 0; Host < 2; ++Host)
      ASSERT_TRUE(waitUntil([&] { return send(Host, "/fine").Status == 200; },
                            seconds(5)));
  }

  http_answer send(std::size_t Host, std::string_view Path) {
    return call(Deployment->callerAddresses().at(Host),
                {"POST",
                 std::string(Path),
                 {{"Authorization", "Bearer " + Key}},
                 "the same body",
                 seconds(20)});
  }
  //! Restarts the targets that have exited and returns their number.
  unsigned restartStoppedTargets() {
    unsigned Ended = 0;
    for (member *Target : Deployment->membersOf("target"))
      if (!Target->Process->running()) {
        ++Ended;
        Deployment->restart(Target->Id);
      }
    return Ended;
  }

  std::unique_ptr<deployment> Deployment;
  std::string Key;
};

TEST_P(poison_request, costs_two_targets_at_most_and_is_refused_then) {
  unsigned Lost = 0;
  for (std::size_t Attempt = 0; Attempt < 6; ++Attempt) {
    const http_answer Answer = send(Attempt % 2, CrashPath);
    Lost += restartStoppedTargets();
    const std::size_t SendingsThatRan = GetParam() ? 1 : 2;
    ASSERT_TRUE(Answer.Header.contains("Pomelo-Error")) << Answer.Failure;
    EXPECT_EQ(Answer.Header.at("Pomelo-Error"),
              Attempt < SendingsThatRan ? "outcome_unknown" : "poison_request")
        << Attempt;
    EXPECT_EQ(send(Attempt % 2, "/fine").Status, 200);
  }
  EXPECT_EQ(Lost, 2U);
  const http_answer Refused = send(0, CrashPath);
  EXPECT_EQ(Refused.Header.at("Pomelo-Run-State"), "not_run");
}

INSTANTIATE_TEST_SUITE_P(once_and_idempotent, poison_request, testing::Bool());

} // namespace
} // namespace pomelo::emulator
