#include "emulator/deployment.hpp"
#include "emulator/raw_call.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <thread>

namespace pomelo::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr auto MaxWithdrawalTime = seconds(4);
constexpr auto IsolationMs = 4000;

//! Returns the standard rules with open_isolation_ms set to \p Isolation.
std::string rulesWith(int Isolation) {
  auto Rules = boost::json::parse(standardRules()).as_object();
  Rules["open_isolation_ms"] = Isolation;
  return boost::json::serialize(Rules);
}

class configuration : public testing::Test {
protected:
  void SetUp() override {
    deployment_plan Plan;
    Plan.FailureDomains = {"a", "b"};
    Plan.RulesJson = rulesWith(IsolationMs);
    Plan.Targets = {{"archive-a", "archive", "a", {"--checks-fence"}},
                    {"registry-a", "registry", "a", {}},
                    {"registry-b", "registry", "b", {}}};
    Deployment = deployment::builder().withPlan(Plan).build();
    const auto Issued = ctlJson({"--wait", "key", "issue", "large"}, 0);
    Key = std::string(Issued.at("key").as_string());
    KeyId = std::string(Issued.at("key_id").as_string());
    Address = Deployment->callerAddresses().front();
  }

  boost::json::object ctlJson(std::vector<std::string> Arguments,
                              int ExitCode) {
    const auto Outcome = Deployment->ctl(std::move(Arguments));
    EXPECT_EQ(Outcome.ExitCode, ExitCode) << Outcome.Output;
    boost::json::error_code Failure;
    const auto Value = boost::json::parse(Outcome.Output, Failure);
    return Value.is_object() ? Value.as_object() : boost::json::object();
  }

  [[nodiscard]] std::string requestText(const std::string &Method,
                                        const std::string &Target,
                                        std::size_t Length) const {
    return fmt::format("{} {} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer "
                       "{}\r\nContent-Length: {}\r\n\r\n",
                       Method, Target, Key, Length);
  }

  [[nodiscard]] http_answer get(const std::string &Target) const {
    return call(Address,
                {"GET", Target, {{"Authorization", "Bearer " + Key}}, {}});
  }

  //! Replaces the rules, sent to the first control host only.
  http_answer putRules(const std::string &Operation,
                       const std::string &BaseVersion,
                       const std::string &Rules) {
    return call(Deployment->adminAddresses().front(),
                {"PUT",
                 "/v1/rules",
                 {{"Authorization", "Bearer operator-credential"},
                  {"Pomelo-Operation-Id", Operation},
                  {"Pomelo-Base-Version", BaseVersion}},
                 Rules});
  }

  std::string journalText(const std::string &TargetId) {
    std::ifstream File(Deployment->journalOf(TargetId));
    return {std::istreambuf_iterator<char>(File), {}};
  }

  std::unique_ptr<deployment> Deployment;
  std::string Key;
  std::string KeyId;
  std::string Address;
};

TEST_F(configuration, gives_one_of_two_racing_operators_a_named_conflict) {
  for (int Round = 0; Round < 10; ++Round) {
    const auto Version =
        Deployment->status().at("version").to_number<std::uint64_t>();
    http_answer Answers[2];
    std::thread Other([&] {
      Answers[1] = putRules(fmt::format("other-{}", Round),
                            std::to_string(Version), rulesWith(2000));
    });
    Answers[0] = putRules(fmt::format("first-{}", Round),
                          std::to_string(Version), rulesWith(1000));
    Other.join();
    const http_answer &Won = Answers[0].Status == 200 ? Answers[0] : Answers[1];
    const http_answer &Lost =
        Answers[0].Status == 200 ? Answers[1] : Answers[0];
    EXPECT_EQ(Won.Status, 200) << Won.Body;
    EXPECT_EQ(Lost.Status, 409) << Lost.Body;
    EXPECT_EQ(Lost.Header.at("Pomelo-Error"), "version_conflict");
    EXPECT_EQ(Deployment->status().at("version").to_number<std::uint64_t>(),
              Version + 1);
  }
}

TEST_F(configuration, answers_a_resent_change_as_it_did_at_first) {
  const auto Base = std::to_string(
      Deployment->status().at("version").to_number<std::uint64_t>());
  const auto First = putRules("same", Base, rulesWith(1000));
  ASSERT_EQ(First.Status, 200) << First.Body;
  ASSERT_EQ(putRules("else", "", rulesWith(2000)).Status, 400);
  const auto Again = putRules("same", Base, rulesWith(1000));
  EXPECT_EQ(Again.Status, 200) << Again.Body;
  EXPECT_EQ(boost::json::parse(First.Body).at("version"),
            boost::json::parse(Again.Body).at("version"));
}

TEST_F(configuration, shows_the_version_in_force_on_each_entry_host) {
  const auto Answer = ctlJson({"--wait", "domain", "out", "b"}, 0);
  EXPECT_EQ(Answer.at("state").as_string(), "accepted");
  const auto Status = Deployment->status();
  ASSERT_EQ(Status.at("entry_hosts").as_array().size(), 2U);
  for (const auto &Host : Status.at("entry_hosts").as_array()) {
    EXPECT_TRUE(Host.at("live").as_bool());
    EXPECT_GE(Host.at("version").to_number<std::uint64_t>(),
              Answer.at("version").to_number<std::uint64_t>());
  }
}

TEST_F(configuration, keeps_a_drain_pending_while_a_lost_host_may_serve) {
  Deployment->at("b-e1").Process->pause();
  const auto StartTime = steady_clock::now();
  const auto Pending = ctlJson({"target", "out", "registry-a"}, 0);
  EXPECT_EQ(Pending.at("state").as_string(), "pending");
  EXPECT_EQ(boost::json::serialize(Pending.at("waiting_for")), R"(["b-e1"])");
  const auto Done = ctlJson({"--wait", "target", "in", "registry-a"}, 0);
  EXPECT_EQ(Done.at("state").as_string(), "accepted");
  EXPECT_GE(steady_clock::now() - StartTime, milliseconds(IsolationMs));
  Deployment->at("b-e1").Process->resume();
}

TEST_F(configuration, stops_a_withdrawn_key_on_an_open_connection) {
  raw_connection Caller(Address);
  const auto Ask = [&] {
    Caller.send(requestText("GET", "/reports/r1", 0));
    return Caller.receive(seconds(3), "}");
  };
  ASSERT_NE(Ask().find("HTTP/1.1 200"), std::string::npos);
  const auto StartTime = steady_clock::now();
  ctlJson({"key", "withdraw", KeyId}, 0);
  EXPECT_TRUE(
      waitUntil([&] { return Ask().find("HTTP/1.1 401") != std::string::npos; },
                MaxWithdrawalTime));
  EXPECT_LT(steady_clock::now() - StartTime, MaxWithdrawalTime);
}

// A request already sent to its target runs to completion, since cancelling it
// would leave its outcome unknown; later requests with the key are rejected.
TEST_F(configuration, lets_an_upload_end_whose_key_was_withdrawn_meanwhile) {
  constexpr std::size_t Length = 1 << 20;
  raw_connection Caller(Address);
  Caller.send(requestText("POST", "/certificates", Length));
  Caller.send(std::string(Length / 2, 'x'));
  ctlJson({"--wait", "key", "withdraw", KeyId}, 0);
  Caller.send(std::string(Length - Length / 2, 'x'));
  EXPECT_NE(Caller.receive(seconds(5), "}").find("HTTP/1.1 200"),
            std::string::npos);
  Caller.send(requestText("POST", "/certificates", 0));
  EXPECT_NE(Caller.receive(seconds(3), "}").find("HTTP/1.1 401"),
            std::string::npos);
}

TEST_F(configuration, refuses_a_request_not_yet_sent_when_its_key_goes) {
  raw_connection Caller(Address);
  Caller.send(requestText("POST", "/certificates/undecided", 10) + "12345");
  ctlJson({"--wait", "key", "withdraw", KeyId}, 0);
  Caller.send("67890");
  const std::string Answer = Caller.receive(seconds(3), "}");
  EXPECT_NE(Answer.find("HTTP/1.1 401"), std::string::npos) << Answer;
  EXPECT_NE(Answer.find("not_run"), std::string::npos) << Answer;
  EXPECT_EQ(journalText("registry-a").find("undecided"), std::string::npos);
  EXPECT_EQ(journalText("registry-b").find("undecided"), std::string::npos);
}

TEST_F(configuration, survives_a_cut_from_the_control_group) {
  ASSERT_EQ(get("/reports/r1").Status, 200);
  Deployment->at("c1").Process->pause();
  const auto Refused = [&](const std::string &Target) {
    const http_answer Answer = get(Target);
    return Answer.Status == 503 &&
           Answer.Header.at("Pomelo-Error") == "not_authoritative" &&
           Answer.Header.at("Pomelo-Run-State") == "not_run";
  };
  EXPECT_TRUE(
      waitUntil([&] { return Refused("/certificates/x"); }, seconds(4)));
  EXPECT_TRUE(Refused("/reports/r1"));
  for (int Call = 0; Call < 10; ++Call) {
    const auto Open = get("/public/x");
    ASSERT_EQ(Open.Status, 200) << Open.Body;
    EXPECT_EQ(boost::json::parse(Open.Body).at("target").as_string(),
              "registry-a");
  }
  EXPECT_TRUE(waitUntil([&] { return Refused("/public/x"); }, seconds(8)));
  Deployment->at("c1").Process->resume();
  EXPECT_TRUE(
      waitUntil([&] { return get("/reports/r1").Status == 200; }, seconds(4)));
}

} // namespace
} // namespace pomelo::emulator
