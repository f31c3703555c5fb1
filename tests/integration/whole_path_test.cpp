#include "emulator/deployment.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

namespace pomelo::emulator {
namespace {

using std::chrono::seconds;

constexpr std::size_t LargeUploadBytes = std::size_t{64} << 20;

std::string traceFile() {
  return testing::TempDir() + "whole_path_trace_" + std::to_string(getpid());
}

std::string readText(const std::string &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

deployment_plan smallPlan() {
  deployment_plan Plan;
  Plan.EntryHostsPerDomain = 1;
  Plan.EntrySettings = {{"trace_file", traceFile()}};
  Plan.FailureDomains = {"a", "b"};
  Plan.Targets = {{"archive-a", "archive", "a", {"--checks-fence"}},
                  {"archive-b", "archive", "b", {"--checks-fence"}},
                  {"registry-a", "registry", "a", {}}};
  return Plan;
}

class whole_path : public testing::Test {
protected:
  static void SetUpTestSuite() {
    Deployment = deployment::builder().withPlan(smallPlan()).build();
    Key = Deployment->issueKey("large");
    // The key becomes valid once the entry hosts know it.
    for (const auto &Address : Deployment->callerAddresses())
      ASSERT_TRUE(waitUntil(
          [&] { return send(Address, "GET", "/reports/k").Status == 200; },
          seconds(4)));
  }
  static void TearDownTestSuite() { Deployment.reset(); }

  static http_answer send(const std::string &Address, const std::string &Method,
                          const std::string &Target,
                          const std::string &Body = {}) {
    return call(Address, {Method,
                          Target,
                          {{"Authorization", "Bearer " + Key},
                           {"X-Request-Id", "id of " + Target}},
                          Body,
                          seconds(20)});
  }

  static inline std::unique_ptr<deployment> Deployment;
  static inline std::string Key;
};

struct request_case {
  std::string Name;
  std::string Method;
  std::string Target;
  std::size_t BodyBytes;
};

void PrintTo(const request_case &Case, std::ostream *Out) { *Out << Case.Name; }

class whole_path_request : public whole_path,
                           public testing::WithParamInterface<request_case> {};

TEST_P(whole_path_request, gets_its_own_whole_answer_through_each_entry_host) {
  const request_case &Case = GetParam();
  for (const auto &Address : Deployment->callerAddresses()) {
    const http_answer Answer = send(Address, Case.Method, Case.Target,
                                    std::string(Case.BodyBytes, 'x'));
    ASSERT_EQ(Answer.Status, 200) << Answer.Failure << Answer.Body;
    const auto Body = boost::json::parse(Answer.Body).as_object();
    EXPECT_EQ(Body.at("request_id").as_string(), "id of " + Case.Target);
    EXPECT_EQ(Body.at("body_bytes").to_number<std::size_t>(), Case.BodyBytes);
  }
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, whole_path_request,
    testing::Values(request_case{"keyed_read", "GET", "/reports/r7", 0},
                    request_case{"keyed_write", "POST", "/reports/r7", 100},
                    request_case{"registration", "POST", "/certificates", 10},
                    request_case{"large_upload", "POST", "/certificates/model",
                                 LargeUploadBytes},
                    request_case{"open", "GET", "/public/info", 0}));

struct refusal_case {
  std::string Name;
  std::string Target;
  std::string Authorization;
  int Status;
  std::string ErrorName;
};

void PrintTo(const refusal_case &Case, std::ostream *Out) { *Out << Case.Name; }

class whole_path_refusal : public whole_path,
                           public testing::WithParamInterface<refusal_case> {};

TEST_P(whole_path_refusal, names_its_kind_and_that_nothing_ran) {
  const refusal_case &Case = GetParam();
  const http_answer Answer =
      call(Deployment->callerAddresses().front(),
           {"GET", Case.Target, {{"Authorization", Case.Authorization}}, {}});
  EXPECT_EQ(Answer.Status, Case.Status);
  EXPECT_EQ(Answer.Header.at("Pomelo-Error"), Case.ErrorName);
  EXPECT_EQ(Answer.Header.at("Pomelo-Run-State"), "not_run");
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, whole_path_refusal,
    testing::Values(
        refusal_case{"no_key", "/reports/r7", "", 401, "unauthenticated"},
        refusal_case{"wrong_key", "/reports/r7", "Bearer pk_000000000000_00",
                     401, "unauthenticated"},
        refusal_case{"no_route", "/elsewhere", "", 404, "no_route"}));

TEST_F(whole_path, a_request_is_counted_and_leaves_its_span) {
  const std::string Address = Deployment->callerAddresses().front();
  ASSERT_EQ(send(Address, "GET", "/reports/spanned").Status, 200);
  const std::string Ops(
      Deployment->at("a-e1").Description.at("ops_address").as_string());
  const std::string Metrics = call(Ops, {"GET", "/metrics", {}, {}}).Body;
  for (const std::string Expected :
       {"pomelo_requests_total{account=\"large\",outcome=\"ok\",service="
        "\"archive\"} ",
        "pomelo_request_seconds_count{service=\"archive\"} ",
        "pomelo_upstream_seconds_bucket{", "pomelo_lease_seconds "})
    EXPECT_NE(Metrics.find(Expected), std::string::npos) << Expected;
  EXPECT_TRUE(waitUntil(
      [] {
        return readText(traceFile()).find("\"pomelo.slot\"") !=
               std::string::npos;
      },
      seconds(5)));
}

TEST_F(whole_path, an_entry_host_tells_what_it_knows_of_itself_and_of_a_key) {
  const std::string Ops(
      Deployment->at("a-e1").Description.at("ops_address").as_string());
  const auto Shown = Deployment->ctl({"host", "show", Ops});
  ASSERT_EQ(Shown.ExitCode, 0) << Shown.Output;
  const auto Host = boost::json::parse(Shown.Output).as_object();
  EXPECT_EQ(Host.at("host_id").as_string(), "a-e1");
  EXPECT_TRUE(Host.at("may_route").as_bool());
  const auto Seen = Deployment->ctl({"host", "explain", Ops, "archive", "r7"});
  const auto Agreed = Deployment->ctl({"explain", "archive", "r7"});
  EXPECT_EQ(boost::json::parse(Seen.Output).at("owner"),
            boost::json::parse(Agreed.Output).at("owner"));
  EXPECT_EQ(Deployment->ctl({"host", "explain", Ops, "none", "r7"}).ExitCode,
            7);
}

TEST_F(whole_path, sighup_reads_settings_again_and_ends_nothing) {
  for (const std::string Id : {"a-e1", "c1"}) {
    child_process &Process = *Deployment->at(Id).Process;
    Process.signal(SIGHUP);
    EXPECT_FALSE(waitUntil([&] { return !Process.running(); },
                           std::chrono::milliseconds(300)))
        << Id;
  }
  const auto Answer = call(Deployment->callerAddresses().front(),
                           {"GET", "/public/after-hup", {}, {}, seconds(5)});
  EXPECT_EQ(Answer.Status, 200) << Answer.Body << Answer.Failure;
}

TEST_F(whole_path, sigterm_cuts_no_open_request) {
  deployment_plan Plan = smallPlan();
  Plan.Targets = {{"slow", "registry", "a", {"--work-us=1500000"}}};
  Plan.FailureDomains = {"a"};
  const auto Slow = deployment::builder().withPlan(Plan).build();
  const std::string Address = Slow->callerAddresses().front();
  http_answer Answer;
  std::thread Caller([&] {
    Answer = call(Address, {"GET", "/public/slow", {}, {}, seconds(10)});
  });
  const std::string Journal = Slow->journalOf("slow");
  EXPECT_TRUE(waitUntil(
      [&] {
        return std::filesystem::exists(Journal) &&
               std::filesystem::file_size(Journal) > 0;
      },
      seconds(5)));
  Slow->at("a-e1").Process->signal(SIGTERM);
  Caller.join();
  EXPECT_EQ(Answer.Status, 200) << Answer.Failure;
  EXPECT_EQ(Slow->at("a-e1").Process->wait(seconds(5)), 0);
}

} // namespace
} // namespace pomelo::emulator
