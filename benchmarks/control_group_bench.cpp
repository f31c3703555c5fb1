//! Measures a control group of three real processes on one machine: committed
//! changes a second, restart time, and leader loss to the next commit. Prints
//! one "name value unit" a line.
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
using milliseconds_real = std::chrono::duration<double, std::milli>;

constexpr int Clients = 16;

class measurement {
public:
  measurement() {
    deployment_plan Plan;
    Plan.ControlHosts = 3;
    Group = deployment::builder().withPlan(Plan).build();
  }

  //! Makes \p Count changes from several clients; latencies in ms.
  std::vector<double> changes(int Count) {
    std::vector<std::vector<double>> Latencies(Clients);
    std::vector<std::thread> Threads;
    Threads.reserve(Clients);
    for (int Number = 0; Number < Clients; ++Number)
      Threads.emplace_back([&, Number] {
        admin_client Client(Group->adminAddresses(), "operator-credential");
        for (int Made = 0; Made < Count / Clients; ++Made)
          Latencies[Number].push_back(change(Client));
      });
    std::vector<double> All;
    for (int Number = 0; Number < Clients; ++Number) {
      Threads[Number].join();
      All.insert(All.end(), Latencies[Number].begin(), Latencies[Number].end());
    }
    std::sort(All.begin(), All.end());
    return All;
  }

  double restartAll() {
    for (member *Control : Group->membersOf("control"))
      Control->Process->kill();
    const auto Begin = steady_clock::now();
    for (member *Control : Group->membersOf("control"))
      Group->restart(Control->Id);
    admin_client Client(Group->adminAddresses(), "operator-credential");
    change(Client);
    return milliseconds_real(steady_clock::now() - Begin).count();
  }

  double loseLeader() {
    const std::string Leader(ask("/v1/status").at("host_id").as_string());
    std::vector<std::string> Others;
    for (member *Control : Group->membersOf("control"))
      if (Control->Id != Leader)
        Others.emplace_back(
            Control->Description.at("admin_address").as_string());
    admin_client Client(Others, "operator-credential");
    const auto Begin = steady_clock::now();
    Group->at(Leader).Process->kill();
    change(Client);
    const auto End = steady_clock::now();
    Group->restart(Leader);
    return milliseconds_real(End - Begin).count();
  }

private:
  json::object ask(const std::string &Path) {
    admin_client Client(Group->adminAddresses(), "operator-credential");
    return Client.call({"GET", Path, {}, {}, {}});
  }

  static double change(admin_client &Client) {
    const auto Begin = steady_clock::now();
    Client.call({"POST", "/v1/drains",
                 R"({"scope":"failure_domain","name":"a"})",
                 std::to_string(NextOperation++), std::nullopt});
    return milliseconds_real(steady_clock::now() - Begin).count();
  }

  static inline std::atomic<int> NextOperation = 0;
  std::unique_ptr<deployment> Group;
};

void measure(int LossRuns) {
  measurement Measurement;
  const auto Begin = steady_clock::now();
  const auto Latencies = Measurement.changes(992);
  const std::chrono::duration<double> Took = steady_clock::now() - Begin;
  fmt::print("control_changes {:.0f} 1/s\n",
             static_cast<double>(Latencies.size()) / Took.count());
  fmt::print("control_change_p50 {:.2f} ms\n", Latencies[Latencies.size() / 2]);
  fmt::print("control_change_p99 {:.2f} ms\n",
             Latencies[Latencies.size() * 99 / 100]);
  fmt::print("control_restart_1000 {:.0f} ms\n", Measurement.restartAll());
  std::vector<double> Losses;
  Losses.reserve(static_cast<std::size_t>(LossRuns));
  for (int Run = 0; Run < LossRuns; ++Run)
    Losses.push_back(Measurement.loseLeader());
  std::sort(Losses.begin(), Losses.end());
  fmt::print("control_leader_loss_min {:.0f} ms\n", Losses.front());
  fmt::print("control_leader_loss_p50 {:.0f} ms\n", Losses[Losses.size() / 2]);
  fmt::print("control_leader_loss_max {:.0f} ms\n", Losses.back());
  Measurement.changes(9008);
  fmt::print("control_restart_10000 {:.0f} ms\n", Measurement.restartAll());
}

} // namespace
} // namespace pomelo::emulator

int main(int Argc, char **Argv) {
  constexpr int DefaultLossRuns = 20;
  pomelo::emulator::measure(Argc > 1 ? std::atoi(Argv[1]) : DefaultLossRuns);
}
