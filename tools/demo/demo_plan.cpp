#include "demo/demo_plan.hpp"

#include "pomeloswitch/settings/inventory.hpp"
#include "pomeloswitch/settings/json_document.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pomelo::demo {
namespace {

constexpr unsigned ProbedKeys = 48;
constexpr const char *ProbeAccount = "bureau-1";
constexpr const char *Example = "/examples/statika-jadran/";
constexpr const char *TraceFile = "/examples/traces/statika.jsonl";

inventory readInventory(const demo_plan &Plan) {
  return parseInventory(
      readFile(Plan.SourceFolder + Example + "inventory.json"));
}

caller::trace makeProbes(std::chrono::microseconds End) {
  caller::trace Probes;
  const std::chrono::microseconds Step = ProbeInterval;
  for (unsigned Key = 0; Key < ProbedKeys; ++Key) {
    int Number = 0;
    for (auto At = Step * Key / ProbedKeys; At < End; At += Step) {
      caller::trace_request Request;
      Request.At = At;
      Request.Id = fmt::format("{}{}-{}", ProbePrefix, Key, Number++);
      Request.Account = ProbeAccount;
      Request.Method = "GET";
      Request.Path = fmt::format("/reports/probe{}", Key);
      Request.Idempotent = true;
      Probes.push_back(std::move(Request));
    }
  }
  return Probes;
}

} // namespace

emulator::deployment_plan makeDeploymentPlan(const demo_plan &Plan) {
  emulator::deployment_plan Deployment;
  Deployment.InventoryJson =
      readFile(Plan.SourceFolder + Example + "inventory.json");
  Deployment.RulesJson = readFile(Plan.SourceFolder + Example + "rules.json");
  Deployment.FailureDomains.clear();
  for (const failure_domain &Domain : readInventory(Plan).FailureDomains)
    Deployment.FailureDomains.push_back(Domain.Name);
  Deployment.ControlHosts = Plan.ControlHosts;
  Deployment.EntryHostsPerDomain = Plan.EntryHostsPerDomain;
  Deployment.FaultProxy = true;
  for (const std::string &Domain : Deployment.FailureDomains) {
    for (unsigned Number = 1; Number <= Plan.ArchiveTargetsPerDomain; ++Number)
      // Half of the archive targets check fencing tokens.
      Deployment.Targets.push_back(
          {fmt::format("archive-{}-{}", Domain, Number), "archive", Domain,
           Number % 2 == 1 ? std::vector<std::string>{"--checks-fence"}
                           : std::vector<std::string>{}});
    Deployment.Targets.push_back(
        {"certification-" + Domain, "certification", Domain, {}});
    Deployment.Targets.push_back({"intake-" + Domain, "intake", Domain, {}});
  }
  return Deployment;
}

caller::trace makeTrace(const demo_plan &Plan) {
  const caller::trace Recorded =
      caller::readTraceFile(Plan.SourceFolder + TraceFile);
  const std::chrono::microseconds Length =
      std::chrono::ceil<std::chrono::seconds>(Recorded.back().At);
  caller::trace Trace = makeProbes(Length * Plan.TraceRepeats);
  for (unsigned Repeat = 0; Repeat < Plan.TraceRepeats; ++Repeat)
    for (caller::trace_request Request : Recorded) {
      Request.At += Length * Repeat;
      Request.Id += fmt::format("-{}", Repeat);
      Trace.push_back(std::move(Request));
    }
  std::sort(
      Trace.begin(), Trace.end(),
      [](const auto &Left, const auto &Right) { return Left.At < Right.At; });
  return Trace;
}

std::map<std::string, judge::account_rate> readRates(const demo_plan &Plan) {
  std::map<std::string, judge::account_rate> Rates;
  for (const client_account &Account : readInventory(Plan).ClientAccounts)
    Rates[Account.Name] = {Account.RatePerSecond, Account.Burst};
  return Rates;
}

} // namespace pomelo::demo
