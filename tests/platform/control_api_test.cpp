#include "platform/control_api.hpp"

#include "pomeloswitch/raft/local_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <exception>
#include <optional>

namespace pomelo::platform {
namespace {

namespace http = boost::beast::http;

struct odd_call {
  std::string Name;
  std::string Path;
  std::string Body;
  error_kind Refusal = error_kind::BadRequest;
};

void PrintTo(const odd_call &Case, std::ostream *Out) { *Out << Case.Name; }

class control_api_fixture : public testing::Test {
protected:
  control_api_fixture() {
    control_settings Settings;
    Settings.HostId = "127.0.0.1:1";
    Settings.PeerAddress = Settings.AdminAddress = "127.0.0.1:0";
    Settings.ClusterSecret = "secret of this test only";
    Settings.Adapter = R"({"failure_domains": {"a": "r"}})";
    Host = control_host::builder()
               .withIo(Io)
               .withSettings(std::move(Settings))
               .withLog(std::make_unique<local_log>("c1"))
               .build();
    Host->start();
    Api.emplace(Io, *Host);
  }
  ~control_api_fixture() override {
    Host->stop();
    Io.run_for(std::chrono::milliseconds(100));
  }

  //! Returns the refusal of a POST, or std::nullopt if it succeeded.
  std::optional<error_kind> post(const std::string &Path,
                                 const std::string &Body) {
    text_request Request(http::verb::post, Path, 11);
    Request.body() = Body;
    bool Ended = false;
    std::exception_ptr Failure;
    boost::asio::co_spawn(Io, Api->handle(Request),
                          [&](const std::exception_ptr &Thrown, const auto &) {
                            Ended = true;
                            Failure = Thrown;
                          });
    while (!Ended)
      Io.run_one();
    try {
      if (Failure)
        std::rethrow_exception(Failure);
    } catch (const pomelo_error &Refusal) {
      return Refusal.kind();
    }
    return std::nullopt;
  }

  boost::asio::io_context Io;
  std::unique_ptr<control_host> Host;
  std::optional<control_api> Api;
};

const std::string HeartbeatPath = "/pomeloswitch/Instances.Heartbeat/";
const std::string LeavePath = "/pomeloswitch/Instances.Leave/";
const std::string ReplacePath = "/pomeloswitch/Configuration.Replace";
const std::string Nested = std::string(10000, '[') + std::string(10000, ']');

const std::string Configuration = R"({
  "version": "1",
  "routes": {"r": {"host": "h", "path_prefix": "/a/", "kind": "safe",
                   "service": "s", "timeout_s": 1.5, "target_latency_s": 0.6,
                   "priority": 2, "max_attempts": 2,
                   "allow_anonymous": false}},
  "services": {"s": {"connection_limit": 130, "cold_per_s": 2.5}},
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
             "header_timeout_s": 3, "idle_timeout_s": 15},
  "tenants": {"t": {"api_keys": ["k1"], "rate_per_s": 0}}})";

std::string report(const std::string &Address, unsigned Born = 1,
                   const std::string &State = "ready") {
  return fmt::format(
      R"({{"address": "{}", "born": {}, "information": {{"service": "s",
           "version": "v1", "zone": "a", "slots": 4}}, "status": {{"state": "{}",
           "sequence": 1, "cold_remaining_s": 0}}}})",
      Address, Born, State);
}

class odd_platform_call : public control_api_fixture,
                          public testing::WithParamInterface<odd_call> {};

TEST_P(odd_platform_call, is_refused_and_the_host_goes_on) {
  ASSERT_EQ(post(ReplacePath, Configuration), std::nullopt);
  EXPECT_EQ(post(GetParam().Path, GetParam().Body), GetParam().Refusal);
  EXPECT_EQ(post(HeartbeatPath + "t1", report("127.0.0.1:4001")), std::nullopt);
  while (!Host->state().targets().contains("t1"))
    Io.run_one();
  EXPECT_EQ(Host->state().targets().size(), 1U);
  EXPECT_EQ(Host->state().configurationNumber(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    each, odd_platform_call,
    testing::Values(
        odd_call{"report_id_not_utf_8", HeartbeatPath + "caf\xe9",
                 report("127.0.0.1:4002")},
        odd_call{"report_nested", HeartbeatPath + "t2", Nested},
        odd_call{"report_port", HeartbeatPath + "t2",
                 report("127.0.0.1:99999")},
        odd_call{"leave_nested", LeavePath + "t1", Nested},
        odd_call{"leave_born", LeavePath + "t1", R"({"born": 1e999})"},
        odd_call{"leave_negative", LeavePath + "t1", R"({"born": -1})"},
        odd_call{"evacuation_not_utf_8", "/pomeloswitch/Evacuation.Start/\xff",
                 "", error_kind::InvalidChange},
        odd_call{"configuration_nested", ReplacePath, Nested},
        odd_call{"configuration_not_utf_8", ReplacePath,
                 "{\"version\": \"\xff\"}"},
        odd_call{"configuration_version", ReplacePath,
                 R"({"version": "10000000000000000"})"},
        odd_call{"configuration_rate", ReplacePath,
                 R"({"version": "2", "services": {}, "routes": {},
                     "tenants": {"t": {"rate_per_s": "1e999"}}})"}),
    [](const auto &Info) { return Info.param.Name; });

//! A call by which a target says that it leaves, and whether it then is still a
//! member.
struct leaving_call {
  std::string Name;
  std::string Path;
  std::string Body;
  bool StaysMember = false;
};

void PrintTo(const leaving_call &Case, std::ostream *Out) { *Out << Case.Name; }

class restarted_target : public control_api_fixture,
                         public testing::WithParamInterface<leaving_call> {};

// Guards against a leave that is confirmed while the earlier process with the
// same id stays a member and gets requests (DRAIN, review/4, issue 38).
TEST_P(restarted_target, is_no_member_once_its_leave_is_confirmed) {
  ASSERT_EQ(post(ReplacePath, Configuration), std::nullopt);
  const std::string Address = "127.0.0.1:4001";
  ASSERT_EQ(post(HeartbeatPath + "t1", report(Address, 2)), std::nullopt);
  while (!Host->state().targets().contains("t1"))
    Io.run_one();
  EXPECT_EQ(post(GetParam().Path, GetParam().Body), std::nullopt);
  const auto Known = Host->state().targets().find("t1");
  const bool Member =
      Known != Host->state().targets().end() && !Known->second.Leaving;
  EXPECT_EQ(Member, GetParam().StaysMember);
}

INSTANTIATE_TEST_SUITE_P(
    each, restarted_target,
    testing::Values(
        leaving_call{"draining_report_of_a_later_start", HeartbeatPath + "t1",
                     report("127.0.0.1:4001", 3, "draining")},
        leaving_call{"leave_of_a_later_start", LeavePath + "t1",
                     R"({"born": 3})"},
        leaving_call{"draining_report_of_the_same_start", HeartbeatPath + "t1",
                     R"({"address": "127.0.0.1:4001", "born": 2,
                         "information": {"service": "s", "version": "v1", "zone": "a",
                                         "slots": 4},
                         "status": {"state": "draining", "sequence": 2,
                                    "cold_remaining_s": 0}})"},
        leaving_call{"leave_of_the_same_start", LeavePath + "t1", ""},
        leaving_call{"draining_report_of_an_earlier_start",
                     HeartbeatPath + "t1",
                     report("127.0.0.1:4001", 1, "draining"), true},
        leaving_call{"leave_of_an_earlier_start", LeavePath + "t1",
                     R"({"born": 1})", true}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo::platform
