#include "emulator/deployment.hpp"
#include "pomeloswitch/settings/json_document.hpp"

#include <boost/json/object.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <cstring>
#include <thread>
#include <tuple>
#include <vector>

namespace pomelo::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! An entry host with given times of its stop, before one target.
class stopped_host : public testing::Test {
protected:
  void start(boost::json::object StopSettings, const std::string &WorkUs) {
    deployment_plan Plan;
    Plan.FailureDomains = {"a"};
    Plan.EntrySettings = std::move(StopSettings);
    Plan.Targets = {{"registry-a", "registry", "a", {"--work-us=" + WorkUs}}};
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

  child_process &host() { return *Deployment->at("a-e1").Process; }

  std::unique_ptr<deployment> Deployment;
  std::string Key;
};

//! An entry host that takes new requests for 2 s after SIGTERM and ends 0.5 s
//! later, before a target that takes 1 s for a request.
class stop : public stopped_host {
protected:
  stop() {
    start({{"stop_notice_ms", 2000}, {"stop_grace_ms", 500}}, "1000000");
  }
};

TEST_F(stop, answers_what_comes_soon_after_the_signal) {
  host().signal(SIGTERM);
  EXPECT_EQ(send("/certificates/soon").Status, 200);
}

// The request may not run twice, so its caller could not send it again.
TEST_F(stop, refuses_what_it_could_not_finish_before_its_end) {
  host().signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1800));
  const auto Late = send("/certificates/late");
  EXPECT_EQ(Late.Status, 503) << Late.Failure;
  EXPECT_EQ(Late.runState(), "not_run");
}

//! An entry host whose stop lasts 1.5 s at most, before targets with more work.
class short_stop : public stopped_host {
protected:
  void startWithWork(const std::string &WorkUs) {
    start({{"stop_notice_ms", 500}, {"stop_grace_ms", 1000}}, WorkUs);
    Journal = Deployment->journalOf("registry-a");
  }

  //! Sends a request and returns once a target has begun it.
  std::thread sendAndAwaitStart(http_answer &Answer) {
    const auto Before = journalSize();
    std::thread Caller([&] { Answer = send("/certificates/open"); });
    EXPECT_TRUE(waitUntil([&] { return journalSize() > Before; }, seconds(5)));
    return Caller;
  }

  [[nodiscard]] std::uintmax_t journalSize() const {
    return std::filesystem::exists(Journal)
               ? std::filesystem::file_size(Journal)
               : 0;
  }
  std::string hostLog() { return readFile(Deployment->at("a-e1").LogFile); }

  std::string Journal;
};

// The connection was closed without a word when the process ended.
TEST_F(short_stop, answers_a_request_that_outlasts_the_stop) {
  startWithWork("3000000");
  http_answer Answer;
  std::thread Caller = sendAndAwaitStart(Answer);
  host().signal(SIGTERM);
  Caller.join();
  EXPECT_EQ(Answer.Status, 502) << Answer.Failure;
  EXPECT_EQ(Answer.runState(), "unknown");
  EXPECT_EQ(host().wait(seconds(3)), 0);
  EXPECT_EQ(hostLog().find("request_cut"), std::string::npos);
}

struct signal_series {
  std::string Name;
  std::vector<int> Signals;
};

void PrintTo(const signal_series &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class repeated_stop : public short_stop,
                      public testing::WithParamInterface<signal_series> {};

// The second signal ended the process at once, with all its requests.
TEST_P(repeated_stop, cuts_no_request) {
  startWithWork("800000");
  http_answer Answer;
  std::thread Caller = sendAndAwaitStart(Answer);
  for (const int Signal : GetParam().Signals) {
    host().signal(Signal);
    std::this_thread::sleep_for(milliseconds(100));
  }
  Caller.join();
  EXPECT_EQ(Answer.Status, 200) << Answer.Failure;
  EXPECT_EQ(host().wait(seconds(3)), 0);
}

INSTANTIATE_TEST_SUITE_P(
    signals, repeated_stop,
    testing::Values(
        signal_series{"stop_twice", {SIGTERM, SIGTERM}},
        signal_series{"stop_thrice", {SIGTERM, SIGTERM, SIGTERM}},
        signal_series{"interrupt_after_stop", {SIGTERM, SIGINT}},
        signal_series{"reload_after_stop", {SIGTERM, SIGHUP, SIGHUP}},
        signal_series{"stop_after_reload", {SIGHUP, SIGTERM, SIGTERM}}),
    [](const auto &Info) { return Info.param.Name; });

//! A host of a deployment whose stops end at once, and a signal.
using storm_case = std::tuple<std::string, int>;

class signal_storm : public testing::TestWithParam<storm_case> {
protected:
  static deployment_plan plan() {
    deployment_plan Plan;
    Plan.FailureDomains = {"a"};
    Plan.EntrySettings = {{"stop_notice_ms", 0}, {"stop_grace_ms", 0}};
    return Plan;
  }
};

// A signal after the end of the event loop ended the process.
TEST_P(signal_storm, does_not_change_the_exit_code) {
  constexpr int Stops = 5;
  const auto &[HostId, Signal] = GetParam();
  const auto Deployment = deployment::builder().withPlan(plan()).build();
  for (int Stop = 0; Stop < Stops; ++Stop) {
    child_process &Host = *Deployment->at(HostId).Process;
    Host.signal(SIGTERM);
    while (Host.running()) {
      Host.signal(Signal);
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
    EXPECT_EQ(Host.wait(milliseconds(0)), 0);
    Deployment->restart(HostId);
  }
}

std::string nameOf(const testing::TestParamInfo<storm_case> &Info) {
  const auto &[HostId, Signal] = Info.param;
  return HostId.substr(HostId.size() - 2) + "_" + sigabbrev_np(Signal);
}

INSTANTIATE_TEST_SUITE_P(hosts, signal_storm,
                         testing::Combine(testing::Values("c1", "a-e1"),
                                          testing::Values(SIGTERM, SIGINT,
                                                          SIGHUP)),
                         nameOf);

} // namespace
} // namespace pomelo::emulator
