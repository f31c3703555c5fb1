//! Measures the processor time, memory and traffic of a control process with
//! 50, 200 and 800 announced nodes. Prints "name value unit" lines. A tenth of
//! the nodes are entry hosts; the rest are targets that check fencing tokens.
#include "emulator/deployment.hpp"
#include "node_swarm.hpp"
#include "process_usage.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <stdexcept>
#include <string>

namespace pomelo::bench {
namespace {

using std::chrono::seconds;

constexpr unsigned TargetsPerHost = 9;
constexpr seconds JoinTimeout{30};
constexpr seconds SettleTime{3};
constexpr seconds MeasuredTime{8};

struct resource_usage {
  double ProcessorSeconds = 0;
  swarm_traffic Traffic;
};

resource_usage readUsage(pid_t Pid, const node_swarm &Swarm) {
  return {processorSeconds(Pid), Swarm.traffic()};
}

std::size_t countTargets(emulator::deployment &Deployment) {
  return Deployment.status().at("targets").as_array().size();
}

void runUntilJoined(boost::asio::io_context &Io,
                    emulator::deployment &Deployment, std::size_t Targets) {
  const auto Deadline = std::chrono::steady_clock::now() + JoinTimeout;
  while (countTargets(Deployment) < Targets) {
    if (std::chrono::steady_clock::now() > Deadline)
      throw std::runtime_error("the swarm did not join within the timeout");
    Io.run_for(std::chrono::milliseconds(500));
  }
}

void print(unsigned Nodes, std::string_view Name, double Value,
           std::string_view Unit) {
  fmt::print("control_{}_nodes_{} {:.4g} {}\n", Nodes, Name, Value, Unit);
  std::fflush(stdout);
}

void measure(unsigned Nodes) {
  emulator::deployment_plan Plan;
  Plan.FailureDomains = {"a"};
  const auto Deployment =
      emulator::deployment::builder().withPlan(Plan).build();
  const emulator::member &Control = Deployment->at("c1");
  const pid_t Pid = Control.Process->pid();
  const double MemoryBefore = residentBytes(Pid);
  const unsigned EntryHosts = Nodes / (TargetsPerHost + 1);
  boost::asio::io_context Io;
  node_swarm Swarm(
      Io, std::string(Control.Description.at("peer_address").as_string()),
      "cluster secret for emulation only", "archive", "a", EntryHosts,
      TargetsPerHost);
  Swarm.start();
  runUntilJoined(Io, *Deployment, std::size_t{EntryHosts} * TargetsPerHost);
  Io.run_for(SettleTime);
  const resource_usage Before = readUsage(Pid, Swarm);
  Io.run_for(MeasuredTime);
  const resource_usage After = readUsage(Pid, Swarm);
  const double Seconds = static_cast<double>(MeasuredTime.count());
  print(Nodes, "processor",
        100 * (After.ProcessorSeconds - Before.ProcessorSeconds) / Seconds,
        "%_of_a_core");
  print(Nodes, "memory", residentBytes(Pid) / 1e6, "MB");
  print(Nodes, "memory_grown", (residentBytes(Pid) - MemoryBefore) / 1e6, "MB");
  print(Nodes, "received_per_node",
        static_cast<double>(After.Traffic.Sent - Before.Traffic.Sent) /
            Seconds / Nodes,
        "B/s");
  print(Nodes, "sent_per_node",
        static_cast<double>(After.Traffic.Received - Before.Traffic.Received) /
            Seconds / Nodes,
        "B/s");
  Swarm.stop();
}

} // namespace
} // namespace pomelo::bench

int main() {
  try {
    for (const unsigned Nodes : {50U, 200U, 800U})
      pomelo::bench::measure(Nodes);
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "control_slope_bench: {}\n", Failure.what());
    return 1;
  }
  return 0;
}
