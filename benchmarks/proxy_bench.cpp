//! Compares requests through an entry host with direct requests to the same
//! stand-in target, alternately, and prints the medians of several rounds as
//! "name value unit" lines.
#include "emulator/deployment.hpp"
#include "process_usage.hpp"
#include "proxy_closed_loop.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace pomelo::bench {
namespace {

constexpr int Rounds = 7;
constexpr unsigned LoadConnections = 16;
constexpr std::chrono::milliseconds RoundTime{1000};

emulator::deployment_plan makePlan() {
  emulator::deployment_plan Plan;
  Plan.FailureDomains = {"a"};
  Plan.Targets = {{"registry-a",
                   "registry",
                   "a",
                   {"--slots=64", "--queue=64", "--work-us=0"}}};
  return Plan;
}

double median(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

struct round_values {
  std::vector<double> DirectP50;
  std::vector<double> DirectP99;
  std::vector<double> ThroughP50;
  std::vector<double> ThroughP99;
  std::vector<double> AddedP50;
  std::vector<double> DirectPerSecond;
  std::vector<double> ThroughPerSecond;
  std::vector<double> PerCore;
};

load_result run(const std::string &Address, unsigned Connections) {
  load_result Result = runClosedLoop(Address, Connections, RoundTime);
  if (Result.Failures > 0 || Result.Requests == 0)
    throw std::runtime_error(fmt::format("{}: {} requests, {} failures",
                                         Address, Result.Requests,
                                         Result.Failures));
  return Result;
}

void runRound(const std::string &Direct, const std::string &Through,
              pid_t EntryPid, round_values &Values) {
  const load_result OneDirect = run(Direct, 1);
  const load_result OneThrough = run(Through, 1);
  Values.DirectP50.push_back(OneDirect.quantile(0.5));
  Values.DirectP99.push_back(OneDirect.quantile(0.99));
  Values.ThroughP50.push_back(OneThrough.quantile(0.5));
  Values.ThroughP99.push_back(OneThrough.quantile(0.99));
  Values.AddedP50.push_back(OneThrough.quantile(0.5) - OneDirect.quantile(0.5));
  Values.DirectPerSecond.push_back(run(Direct, LoadConnections).perSecond());
  const double Before = processorSeconds(EntryPid);
  const load_result Loaded = run(Through, LoadConnections);
  const double Used = processorSeconds(EntryPid) - Before;
  Values.ThroughPerSecond.push_back(Loaded.perSecond());
  Values.PerCore.push_back(static_cast<double>(Loaded.Requests) / Used);
}

void print(const char *Name, const std::vector<double> &Values,
           const char *Unit) {
  fmt::print("{} {:.3f} {}\n", Name, median(Values), Unit);
}

int runAll() {
  const auto Deployment =
      emulator::deployment::builder().withPlan(makePlan()).build();
  const std::string Direct(
      Deployment->at("registry-a").Description.at("address").as_string());
  const std::string Through = Deployment->callerAddresses().front();
  const pid_t EntryPid = Deployment->at("a-e1").Process->pid();
  round_values Values;
  for (int Round = 0; Round < Rounds; ++Round)
    runRound(Direct, Through, EntryPid, Values);
  print("proxy_direct_p50", Values.DirectP50, "ms");
  print("proxy_direct_p99", Values.DirectP99, "ms");
  print("proxy_through_p50", Values.ThroughP50, "ms");
  print("proxy_through_p99", Values.ThroughP99, "ms");
  print("proxy_added_p50", Values.AddedP50, "ms");
  print("proxy_direct_rate", Values.DirectPerSecond, "requests/s");
  print("proxy_through_rate", Values.ThroughPerSecond, "requests/s");
  print("proxy_through_per_core", Values.PerCore, "requests/core-second");
  return 0;
}

} // namespace
} // namespace pomelo::bench

int main() {
  try {
    return pomelo::bench::runAll();
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "proxy_bench: {}\n", Failure.what());
    return 1;
  }
}
