#include "pomeloswitch/control/admin_api.hpp"

#include "control/idle_log.hpp"
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
  void proposeChange(wire::command, change_completion) override {}
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

} // namespace
} // namespace pomelo
