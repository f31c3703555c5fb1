#include "pomeloswitch/control/admin_api.hpp"

#include "control/idle_log.hpp"
#include "pomeloswitch/control/rollout_description.hpp"
#include "pomeloswitch/settings/control_settings.hpp"
#include "pomeloswitch/wire/secret_hash.hpp"
#include "state/state_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <chrono>

namespace pomelo {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds HostLease{300};

class fake_backend final : public admin_backend {
public:
  fake_backend() : Leases(times()) {
    Settings.Operators = {{"operator", sha256Hex("credential")}};
    Log.Leads = true;
    Cluster.joinHost("e1", 1);
    Leases.startTerm(Cluster.State, steady_clock::now());
  }
  static lease_times times() {
    lease_times Times;
    Times.HostLease = HostLease;
    return Times;
  }
  void proposeChange(wire::command Command, change_completion Done) override {
    const apply_result Result = Cluster.apply(Command);
    Done(Result, Cluster.State.index());
  }
  [[nodiscard]] const cluster_state &state() const override {
    return Cluster.State;
  }
  [[nodiscard]] const lease_table &leases() const override { return Leases; }
  [[nodiscard]] const replicated_log &log() const override { return Log; }
  [[nodiscard]] replicated_log &log() override { return Log; }
  [[nodiscard]] const control_settings &settings() const override {
    return Settings;
  }

  test_cluster Cluster;
  lease_table Leases;
  idle_log Log;
  control_settings Settings;
};

struct in_force_case {
  std::string Name;
  bool Deposed = false;
  std::string State; //!< Empty if there must be no answer.
};

void PrintTo(const in_force_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class in_force_query : public testing::TestWithParam<in_force_case> {};

// Entry hosts report to the next leader; to the deposed one they fall silent.
TEST_P(in_force_query, takes_silence_for_expiry_only_as_long_as_it_leads) {
  boost::asio::io_context Io;
  fake_backend Backend;
  admin_api Api(Io, Backend);
  text_request Request(http::verb::get, "/v1/in-force?index=9&isolation=0", 11);
  Request.set(http::field::authorization, "Bearer credential");
  boost::asio::steady_timer Deposal(Io, milliseconds(50));
  Deposal.async_wait([&Backend](boost::system::error_code) {
    Backend.Log.Leads = !GetParam().Deposed;
  });
  std::string State;
  boost::asio::co_spawn(
      Io, Api.handle(Request),
      [&State](const std::exception_ptr &Failure, const text_response &Answer) {
        if (!Failure)
          State = boost::json::parse(Answer.body()).at("state").as_string();
      });
  Io.run_for(std::chrono::seconds(5));
  EXPECT_EQ(State, GetParam().State);
}

INSTANTIATE_TEST_SUITE_P(each, in_force_query,
                         testing::Values(in_force_case{"leading", false,
                                                       "accepted"},
                                         in_force_case{"deposed", true, ""}),
                         [](const auto &Info) { return Info.param.Name; });

class admin_rollouts : public testing::Test {
protected:
  admin_rollouts() {
    Backend.Settings.RolloutsEnabled = true;
    Backend.Cluster.setInventory(testInventory(4));
  }

  boost::json::object call(http::verb Method, const std::string &Target,
                           const std::string &Body = {}) {
    text_request Request(Method, Target, 11);
    Request.set(http::field::authorization, "Bearer credential");
    Request.body() = Body;
    boost::json::object Answer;
    std::exception_ptr Failed;
    boost::asio::co_spawn(
        Io, Api.handle(Request),
        [&](const std::exception_ptr &Failure, const text_response &Response) {
          Failed = Failure;
          if (!Failure)
            Answer = boost::json::parse(Response.body()).as_object();
        });
    Io.restart();
    Io.run_for(std::chrono::seconds(5));
    if (Failed)
      std::rethrow_exception(Failed);
    return Answer;
  }
  boost::json::object start(const std::string &Body) {
    return call(http::verb::post, "/v1/rollouts", Body);
  }
  void advance(rollout_stage Stage, unsigned SharePermille,
               const std::string &Reason) {
    wire::command Command;
    auto *Change = Command.mutable_advance_rollout();
    Change->set_service("archive");
    Change->set_started_index(
        Backend.state().rollouts().find("archive")->StartedIndex);
    Change->set_stage(static_cast<std::uint32_t>(Stage));
    Change->set_share_permille(SharePermille);
    Change->set_reason(Reason);
    Backend.Cluster.apply(Command);
  }

  boost::asio::io_context Io;
  fake_backend Backend;
  admin_api Api{Io, Backend};
};

constexpr const char *ValidOrder =
    R"({"service": "archive", "version": "v2", "duration_s": 12.5})";

// Guards against an order that is lost or altered on its way to the log.
TEST_F(admin_rollouts, order_is_proposed_as_given) {
  const auto Answer = start(ValidOrder);
  const rollout *Started = Backend.state().rollouts().find("archive");
  ASSERT_NE(Started, nullptr);
  EXPECT_EQ(Started->Version, "v2");
  EXPECT_EQ(Started->DurationMs, 12500U);
  EXPECT_EQ(Answer.at("state").as_string(), "accepted");
}

// Guards against an operator who finds no cause for a roll-back.
TEST_F(admin_rollouts, show_and_list_give_stage_share_and_reason) {
  start(ValidOrder);
  advance(rollout_stage::Running, 40, "the roll-out has begun");
  const auto Running = call(http::verb::get, "/v1/rollout?service=archive");
  EXPECT_EQ(Running.at("stage").as_string(), "running");
  EXPECT_DOUBLE_EQ(Running.at("share").as_double(), 0.04);
  advance(rollout_stage::RolledBack, 0, "worse than the old one");
  const auto List = call(http::verb::get, "/v1/rollouts");
  const auto &Latest = List.at("rollouts").as_array().at(0).as_object();
  EXPECT_EQ(Latest.at("service").as_string(), "archive");
  EXPECT_EQ(Latest.at("stage").as_string(), "rolled_back");
  EXPECT_EQ(Latest.at("reason").as_string(), "worse than the old one");
}

// Guards against series that name a wrong service or a share in permille.
TEST_F(admin_rollouts, metrics_have_stage_and_share_by_service) {
  start(ValidOrder);
  advance(rollout_stage::Completing, 1000, "no worse than the old one");
  metric_set Metrics;
  exportRollouts(Backend.state().rollouts(), Metrics);
  const std::string Text = Metrics.text();
  for (const char *Line : {"pomelo_rollout_stage{service=\"archive\"} 1\n",
                           "pomelo_rollout_share{service=\"archive\"} 1\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Text;
}

// Guards against new series in deployments that have no roll-outs.
TEST_F(admin_rollouts, metrics_are_absent_without_rollouts) {
  metric_set Metrics;
  exportRollouts(Backend.state().rollouts(), Metrics);
  EXPECT_EQ(Metrics.text(), "");
}

struct refused_order {
  std::string Name;
  std::string Body;
  error_kind Kind;
  std::string Named; //!< Part of the message.
  bool Enabled = true;
};

void PrintTo(const refused_order &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class refused_rollout : public admin_rollouts,
                        public testing::WithParamInterface<refused_order> {};

// Guards against an invalid order that is accepted, changes the roll-out under
// way, or is refused without naming the field.
TEST_P(refused_rollout, names_the_fault_and_changes_nothing) {
  start(ValidOrder);
  Backend.Settings.RolloutsEnabled = GetParam().Enabled;
  try {
    start(GetParam().Body);
    FAIL() << "accepted";
  } catch (const pomelo_error &Error) {
    EXPECT_EQ(Error.kind(), GetParam().Kind);
    EXPECT_NE(std::string(Error.what()).find(GetParam().Named),
              std::string::npos)
        << Error.what();
  }
  EXPECT_EQ(describeRollouts(Backend.state().rollouts()).size(), 1U);
  EXPECT_EQ(Backend.state().rollouts().find("archive")->Version, "v2");
}

INSTANTIATE_TEST_SUITE_P(
    each, refused_rollout,
    testing::Values(
        refused_order{"unknown_service",
                      R"({"service": "x", "version": "v3", "duration_s": 9})",
                      error_kind::NotFound, "\"x\""},
        refused_order{
            "another_version_under_way",
            R"({"service": "archive", "version": "v3", "duration_s": 9})",
            error_kind::VersionConflict, "\"v2\""},
        refused_order{"no_version",
                      R"({"service": "archive", "duration_s": 9})",
                      error_kind::BadRequest, "version"},
        refused_order{
            "empty_version",
            R"({"service": "archive", "version": "", "duration_s": 9})",
            error_kind::BadRequest, "version"},
        refused_order{
            "no_time",
            R"({"service": "archive", "version": "v2", "duration_s": 0})",
            error_kind::InvalidChange, "duration"},
        refused_order{"no_duration",
                      R"({"service": "archive", "version": "v2"})",
                      error_kind::BadRequest, "duration_s"},
        refused_order{"not_enabled", ValidOrder, error_kind::InvalidChange,
                      "rollouts", false}),
    [](const auto &Info) { return Info.param.Name; });

TEST_F(admin_rollouts, unknown_rollout_is_not_found) {
  try {
    call(http::verb::get, "/v1/rollout?service=archive");
    FAIL() << "found";
  } catch (const pomelo_error &Error) {
    EXPECT_EQ(Error.kind(), error_kind::NotFound);
  }
}

} // namespace
} // namespace pomelo
