#include "caller/replay.hpp"
#include "demo/added_latency.hpp"
#include "demo/demo_plan.hpp"
#include "demo/outcome_table.hpp"
#include "demo/timeline.hpp"
#include "pomeloswitch/cli/command_line.hpp"
#include "pomeloswitch/cli/daemon.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace pomelo;

namespace {

namespace json = boost::json;

constexpr const char *Usage = R"(pomelo-demo: a deployment under faults.

Usage:
  pomelo-demo [options]
  pomelo-demo (-h | --help)

Options:
  --folder=DIR         Files of the deployment [default: build/demo].
  --source=DIR         The folder that contains examples/ [default: .].
  --control-hosts=N    Control hosts to start [default: 3].
  --json=FILE          Write the outcomes to FILE.
  --hold               Keep the deployment running until interrupted.
  -h --help            Show this text.

Starts 3 failure domains, replays a trace while processes are killed, a failure
domain is drained and returned and another one is cut off, and prints outcomes
with their bounds. Exits with 1 if a bound is not met.
)";

constexpr double MaxAddedMilliseconds = 5;
constexpr std::uint64_t MaxControlHosts = 11;
constexpr auto KeysInForceTimeout = std::chrono::seconds(10);

std::atomic<bool> Interrupted{false};

void onInterrupt(int) { Interrupted = true; }

using account_keys = std::map<std::string, std::string>;

account_keys issueKeys(emulator::deployment &Deployment,
                       const demo::demo_plan &Plan) {
  account_keys Keys;
  for (const auto &[Account, Rate] : demo::readRates(Plan))
    Keys[Account] = Deployment.issueKey(Account);
  for (const auto &[Account, Key] : Keys)
    for (const std::string &Address : Deployment.callerAddresses())
      emulator::waitUntil(
          [&, &Key = Key] {
            return emulator::call(Address,
                                  {"GET",
                                   "/reports/k0",
                                   {{"Authorization", "Bearer " + Key}},
                                   {}})
                       .Status == 200;
          },
          KeysInForceTimeout);
  return Keys;
}

//! Writes deployment.json, with which people and tools find the processes,
//! addresses and credentials of the deployment.
void writeDeploymentFile(emulator::deployment &Deployment,
                         const account_keys &Keys) {
  json::array Processes;
  for (const std::string Role : {"control", "entry", "target"})
    for (const emulator::member *Member : Deployment.membersOf(Role))
      Processes.push_back(
          json::object{{"id", Member->Id},
                       {"role", Role},
                       {"failure_domain", Member->FailureDomain},
                       {"pid", Member->Process->pid()},
                       {"addresses", Member->Description},
                       {"log", Member->LogFile}});
  const json::object Document{
      {"processes", std::move(Processes)},
      {"account_keys", json::value_from(Keys)},
      {"operator_credential_file", Deployment.operatorCredentialFile()},
      {"operator_credential", readFile(Deployment.operatorCredentialFile())},
      {"control", json::value_from(Deployment.adminAddresses())},
      {"fault_proxy", Deployment.links().proxy().controlAddress()}};
  std::ofstream(Deployment.folder() / "deployment.json")
      << json::serialize(Document) << '\n';
}

caller::replay_options replayOptions(emulator::deployment &Deployment,
                                     const account_keys &Keys) {
  caller::replay_options Options;
  Options.Keys = Keys;
  for (const emulator::member *Entry : Deployment.membersOf("entry"))
    Options.Entries.push_back(
        {std::string(Entry->Description.at("caller_address").as_string()),
         std::string(Entry->Description.at("ops_address").as_string()), 1});
  return Options;
}

//! Replays the trace on a separate thread while the calling thread runs the
//! timeline.
std::vector<caller::outcome> replayUnderFaults(emulator::deployment &Deployment,
                                               const demo::demo_plan &Plan,
                                               const account_keys &Keys,
                                               demo::timeline &Timeline) {
  boost::asio::io_context Io{1};
  caller::replay Replay(Io, replayOptions(Deployment, Keys),
                        demo::makeTrace(Plan));
  Replay.start();
  std::thread Thread([&Io] { Io.run(); });
  try {
    Timeline.run(Interrupted);
  } catch (...) {
    Io.stop();
    Thread.join();
    throw;
  }
  if (Interrupted)
    Io.stop();
  Thread.join();
  return Replay.outcomes();
}

judge::journal readJournals(emulator::deployment &Deployment) {
  std::vector<std::string> Files;
  for (const emulator::member *Target : Deployment.membersOf("target"))
    Files.push_back(Deployment.journalOf(Target->Id));
  return judge::readJournals(Files);
}

void writeCallerLog(const std::filesystem::path &File,
                    const std::vector<caller::outcome> &Outcomes) {
  std::ofstream Log(File);
  for (const caller::outcome &Outcome : Outcomes)
    Log << json::serialize(caller::describeOutcome(Outcome)) << '\n';
}

void waitForInterrupt(emulator::deployment &Deployment,
                      const account_keys &Keys) {
  writeDeploymentFile(Deployment, Keys);
  fmt::print("\nThe deployment runs until interrupted; see {}\n",
             (Deployment.folder() / "deployment.json").string());
  std::fflush(stdout);
  while (!Interrupted)
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
}

int runDemo(int Argc, char **Argv) {
  const arguments Arguments =
      parseCommandLine("pomelo-demo", Usage, {Argv + 1, Argv + Argc});
  std::signal(SIGINT, onInterrupt);
  std::signal(SIGTERM, onInterrupt);
  demo::demo_plan Plan;
  Plan.SourceFolder = Arguments.at("--source").asString();
  Plan.ControlHosts = static_cast<unsigned>(
      wholeNumber(Arguments, "--control-hosts", MaxControlHosts));
  const std::filesystem::path Folder =
      std::filesystem::absolute(Arguments.at("--folder").asString());
  std::filesystem::remove_all(Folder);
  const auto Deployment = emulator::deployment::builder()
                              .withPlan(demo::makeDeploymentPlan(Plan))
                              .withFolder(Folder)
                              .build();
  const account_keys Keys = issueKeys(*Deployment, Plan);
  writeDeploymentFile(*Deployment, Keys);
  const double AddedLatency = demo::measureAddedLatency(*Deployment);
  demo::timeline Timeline(*Deployment);
  const auto Outcomes = replayUnderFaults(*Deployment, Plan, Keys, Timeline);
  if (Interrupted)
    return 1;
  writeCallerLog(Folder / "caller.log", Outcomes);
  const judge::journal Journal = readJournals(*Deployment);
  demo::outcome_table Table(
      {Journal, Outcomes, demo::readRates(Plan), Timeline.drains()});
  Table.add(
      {"added_latency_p50", "ms", AddedLatency, MaxAddedMilliseconds, {}});
  Table.print();
  json::object Result = Table.describe();
  Result["caller"] = caller::summarize(Outcomes);
  Result["slots_moved"] = judge::countMoves(Journal);
  Result["imbalance"] = json::value_from(judge::measureImbalance(Journal));
  fmt::print("\ncaller: {}\n", json::serialize(Result["caller"]));
  if (Arguments.at("--json"))
    std::ofstream(Arguments.at("--json").asString())
        << json::serialize(Result) << '\n';
  if (Arguments.at("--hold").asBool())
    waitForInterrupt(*Deployment, Keys);
  return Table.allMet() ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  return runDaemon("pomelo-demo", [=] { return runDemo(Argc, Argv); });
}
