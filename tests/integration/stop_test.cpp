#include "emulator/deployment.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace pomelo::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! An entry host that takes new requests for 2 s after SIGTERM and ends 0.5 s
//! later, before a target that takes 1 s for a request.
class stop : public testing::Test {
protected:
  stop() {
    deployment_plan Plan;
    Plan.FailureDomains = {"a"};
    Plan.EntrySettings = {{"stop_notice_ms", 2000}, {"stop_grace_ms", 500}};
    Plan.Targets = {{"registry-a", "registry", "a", {"--work-us=1000000"}}};
    Deployment = deployment::builder().withPlan(Plan).build();
    Key = Deployment->issueKey("large");
    const bool Served =
        waitUntil([this] { return send("/certificates/first").Status == 200; },
                  seconds(8));
    EXPECT_TRUE(Served);
  }

  http_answer send(const std::string &Target) {
    return call(Deployment->callerAddresses().front(),
                {"POST",
                 Target,
                 {{"Authorization", "Bearer " + Key}},
                 "body",
                 seconds(10)});
  }

  std::unique_ptr<deployment> Deployment;
  std::string Key;
};

TEST_F(stop, answers_what_comes_soon_after_the_signal) {
  Deployment->at("a-e1").Process->signal(SIGTERM);
  EXPECT_EQ(send("/certificates/soon").Status, 200);
}

// The request may not run twice, so its caller could not send it again.
TEST_F(stop, refuses_what_it_could_not_finish_before_its_end) {
  Deployment->at("a-e1").Process->signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1800));
  const auto Late = send("/certificates/late");
  EXPECT_EQ(Late.Status, 503) << Late.Failure;
  const auto State = Late.Header.find("Pomelo-Run-State");
  EXPECT_EQ(State == Late.Header.end() ? "" : State->second, "not_run");
}

} // namespace
} // namespace pomelo::emulator
