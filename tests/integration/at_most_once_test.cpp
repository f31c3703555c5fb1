#include "emulator/deployment.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <thread>

namespace pomelo::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Counts how often the target started the request with \p Path.
unsigned countExecutions(const std::string &Journal, const std::string &Path) {
  std::ifstream File(Journal);
  unsigned Runs = 0;
  for (std::string Line; std::getline(File, Line);) {
    const auto Event = boost::json::parse(Line).as_object();
    if (Event.at("event").as_string() == "start" &&
        Event.at("path").as_string() == Path)
      ++Runs;
  }
  return Runs;
}

class at_most_once : public testing::Test {
protected:
  void SetUp() override {
    deployment_plan Plan;
    Plan.FailureDomains = {"a", "b"};
    Plan.Targets = {{"registry-a", "registry", "a", {"--work-us=300000"}}};
    Deployment = deployment::builder().withPlan(Plan).build();
    Key = Deployment->issueKey("large");
    OtherKey = Deployment->issueKey("small");
    const auto Known = [&](const std::string &Address,
                           const std::string &Text) {
      return call(Address, {"GET",
                            "/reports/none",
                            {{"Authorization", "Bearer " + Text}},
                            {},
                            seconds(4)})
                 .Status != 401;
    };
    for (const auto &Address : Deployment->callerAddresses())
      ASSERT_TRUE(waitUntil(
          [&] { return Known(Address, Key) && Known(Address, OtherKey); },
          seconds(4)));
  }

  http_answer send(std::size_t Host, const std::string &IdempotencyKey,
                   const std::string &Body, const std::string &AccountKey) {
    return call(Deployment->callerAddresses().at(Host),
                {"POST",
                 "/certificates/c1",
                 {{"Authorization", "Bearer " + AccountKey},
                  {"Idempotency-Key", IdempotencyKey}},
                 Body,
                 seconds(20)});
  }
  http_answer send(std::size_t Host, const std::string &IdempotencyKey,
                   const std::string &Body = "body") {
    return send(Host, IdempotencyKey, Body, Key);
  }
  [[nodiscard]] unsigned runs() const {
    return countExecutions(Deployment->journalOf("registry-a"),
                           "/certificates/c1");
  }

  std::unique_ptr<deployment> Deployment;
  std::string Key;
  std::string OtherKey;
};

TEST_F(at_most_once, a_resend_through_another_host_gets_the_first_answer) {
  const auto First = send(0, "k");
  ASSERT_EQ(First.Status, 200) << First.Body;
  http_answer Again;
  ASSERT_TRUE(waitUntil(
      [&] {
        Again = send(1, "k");
        return Again.Status == 200;
      },
      seconds(2)));
  EXPECT_EQ(Again.Body, First.Body);
  EXPECT_EQ(Again.Header.at("Content-Type"), First.Header.at("Content-Type"));
  EXPECT_EQ(runs(), 1U);
}

TEST_F(at_most_once, a_key_belongs_to_its_account_and_its_request) {
  ASSERT_EQ(send(0, "k").Status, 200);
  EXPECT_EQ(send(1, "k", "other body").Header.at("Pomelo-Error"),
            "bad_request");
  EXPECT_EQ(runs(), 1U);
  EXPECT_EQ(send(1, "k", "body", OtherKey).Status, 200);
  EXPECT_EQ(runs(), 2U);
}

TEST_F(at_most_once, resends_at_the_same_time_run_once) {
  std::vector<http_answer> Answers(8);
  std::vector<std::thread> Callers;
  for (std::size_t Number = 0; Number < Answers.size(); ++Number)
    Callers.emplace_back(
        [&, Number] { Answers[Number] = send(Number % 2, "k"); });
  for (auto &Caller : Callers)
    Caller.join();
  EXPECT_EQ(runs(), 1U);
  for (const auto &Answer : Answers) {
    if (Answer.Status != 200) {
      EXPECT_EQ(Answer.Header.at("Pomelo-Error"), "duplicate_in_progress");
    }
  }
}

TEST_F(at_most_once, a_claim_outlives_its_entry_host) {
  std::thread Caller([&] { send(0, "k"); });
  EXPECT_TRUE(waitUntil([&] { return runs() == 1; }, seconds(5)));
  Deployment->at("a-e1").Process->kill();
  Caller.join();
  http_answer Again;
  EXPECT_TRUE(waitUntil(
      [&] {
        Again = send(1, "k");
        return Again.Header["Pomelo-Error"] == "outcome_unknown";
      },
      seconds(60)))
      << Again.Body;
  EXPECT_EQ(runs(), 1U);
}

TEST_F(at_most_once, nothing_is_sent_while_no_control_host_answers) {
  Deployment->at("c1").Process->pause();
  const auto Answer = send(0, "k");
  Deployment->at("c1").Process->resume();
  EXPECT_EQ(Answer.Header.at("Pomelo-Run-State"), "not_run") << Answer.Body;
  EXPECT_EQ(runs(), 0U);
  EXPECT_TRUE(
      waitUntil([&] { return send(1, "k").Status == 200; }, seconds(20)));
  EXPECT_EQ(runs(), 1U);
}

} // namespace
} // namespace pomelo::emulator
