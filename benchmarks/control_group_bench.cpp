//! Measures a control group of three real processes on one machine: committed
//! changes per second, restart time, and the time from the loss of the leader
//! to the next commit. Prints "name value unit" lines.
#include "emulator/deployment.hpp"
#include "pomeloswitch/cli/admin_client.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <vector>

namespace pomelo::emulator {
namespace {

namespace json = boost::json;

using std::chrono::steady_clock;
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

constexpr int Clients = 16;

class control_group {
public:
  control_group() {
    deployment_plan Plan;
    Plan.ControlHosts = 3;
    Deployment = deployment::builder().withPlan(Plan).build();
  }

  //! Makes \p Count changes from several clients; returns the sorted latencies
  //! in ms.
  std::vector<double> makeChanges(int Count) {
    std::vector<std::vector<double>> Latencies(Clients);
    std::vector<std::thread> Threads;
    Threads.reserve(Clients);
    for (int Number = 0; Number < Clients; ++Number)
      Threads.emplace_back([&, Number] {
        admin_client Client(Deployment->adminAddresses(),
                            "operator-credential");
        for (int Made = 0; Made < Count / Clients; ++Made)
          Latencies[Number].push_back(makeChange(Client));
      });
    std::vector<double> All;
    for (int Number = 0; Number < Clients; ++Number) {
      Threads[Number].join();
      All.insert(All.end(), Latencies[Number].begin(), Latencies[Number].end());
    }
    std::sort(All.begin(), All.end());
    return All;
  }

  double measureRestart() {
    for (member *Control : Deployment->membersOf("control"))
      Control->Process->kill();
    const auto Begin = steady_clock::now();
    for (member *Control : Deployment->membersOf("control"))
      Deployment->restart(Control->Id);
    admin_client Client(Deployment->adminAddresses(), "operator-credential");
    makeChange(Client);
    return fractional_milliseconds(steady_clock::now() - Begin).count();
  }

  double measureLeaderLoss() {
    const std::string Leader(get("/v1/status").at("host_id").as_string());
    std::vector<std::string> Others;
    for (member *Control : Deployment->membersOf("control"))
      if (Control->Id != Leader)
        Others.emplace_back(
            Control->Description.at("admin_address").as_string());
    admin_client Client(Others, "operator-credential");
    const auto Begin = steady_clock::now();
    Deployment->at(Leader).Process->kill();
    makeChange(Client);
    const auto End = steady_clock::now();
    Deployment->restart(Leader);
    return fractional_milliseconds(End - Begin).count();
  }

private:
  json::object get(const std::string &Path) {
    admin_client Client(Deployment->adminAddresses(), "operator-credential");
    return Client.call({"GET", Path, {}, {}, {}});
  }

  static double makeChange(admin_client &Client) {
    const auto Begin = steady_clock::now();
    Client.call({"POST", "/v1/drains",
                 R"({"scope":"failure_domain","name":"a"})",
                 std::to_string(NextOperation++), std::nullopt});
    return fractional_milliseconds(steady_clock::now() - Begin).count();
  }

  static inline std::atomic<int> NextOperation = 0;
  std::unique_ptr<deployment> Deployment;
};

void measure(int LossRuns) {
  control_group ControlGroup;
  const auto Begin = steady_clock::now();
  const auto Latencies = ControlGroup.makeChanges(992);
  const std::chrono::duration<double> Took = steady_clock::now() - Begin;
  fmt::print("control_changes {:.0f} 1/s\n",
             static_cast<double>(Latencies.size()) / Took.count());
  fmt::print("control_change_p50 {:.2f} ms\n", Latencies[Latencies.size() / 2]);
  fmt::print("control_change_p99 {:.2f} ms\n",
             Latencies[Latencies.size() * 99 / 100]);
  fmt::print("control_restart_1000 {:.0f} ms\n", ControlGroup.measureRestart());
  std::vector<double> Losses;
  Losses.reserve(static_cast<std::size_t>(LossRuns));
  for (int Run = 0; Run < LossRuns; ++Run)
    Losses.push_back(ControlGroup.measureLeaderLoss());
  std::sort(Losses.begin(), Losses.end());
  fmt::print("control_leader_loss_min {:.0f} ms\n", Losses.front());
  fmt::print("control_leader_loss_p50 {:.0f} ms\n", Losses[Losses.size() / 2]);
  fmt::print("control_leader_loss_max {:.0f} ms\n", Losses.back());
  ControlGroup.makeChanges(9008);
  fmt::print("control_restart_10000 {:.0f} ms\n",
             ControlGroup.measureRestart());
}

} // namespace
} // namespace pomelo::emulator

int main(int Argc, char **Argv) {
  constexpr int DefaultLossRuns = 20;
  pomelo::emulator::measure(Argc > 1 ? std::atoi(Argv[1]) : DefaultLossRuns);
}
