#include "caller/replay.hpp"
#include "caller/trace_generator.hpp"
#include "pomeloswitch/cli/command_line.hpp"
#include "pomeloswitch/cli/daemon.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>

using namespace pomelo;

namespace {

namespace json = boost::json;

constexpr const char *Usage =
    R"(pomelo-caller: replays traces against entry hosts.

Usage:
  pomelo-caller replay --entries=FILE --keys=FILE --trace=FILE [options]
  pomelo-caller generate --shape=NAME --seconds=N [--seed=N]
  pomelo-caller (-h | --help)

Options:
  --entries=FILE    JSON array of {"caller_address", "ops_address", "weight"}.
  --keys=FILE       JSON object from account to key.
  --trace=FILE      Trace to replay; see docs/TRACES.md.
  --log=FILE        Write one JSON line per request to FILE.
  --timeout-ms=N    Timeout of a request in ms [default: 10000].
  --shape=NAME      Shape to generate: statika or hinokuni.
  --seconds=N       Duration of the generated trace.
  --seed=N          Seed of all random choices [default: 1].
  -h --help         Show this text.

The outcome of a replay is printed as JSON.
)";

constexpr std::uint64_t MaxTimeoutMs = 3'600'000;
constexpr std::uint64_t MaxTraceSeconds = 86'400;

std::vector<caller::entry_address> readEntries(const std::string &File) {
  std::vector<caller::entry_address> Entries;
  const json::value Document = json::parse(readFile(File));
  for (const auto &Item : Document.as_array()) {
    const json::object &Entry = Item.as_object();
    Entries.push_back({stringField(Entry, "caller_address"),
                       stringField(Entry, "ops_address"),
                       doubleField(Entry, "weight", 1)});
  }
  return Entries;
}

int runReplayCommand(const arguments &Arguments) {
  caller::replay_options Options;
  Options.Entries = readEntries(Arguments.at("--entries").asString());
  const json::value Keys =
      json::parse(readFile(Arguments.at("--keys").asString()));
  for (const auto &Item : Keys.as_object())
    Options.Keys[std::string(Item.key())] = Item.value().as_string();
  Options.Timeout = std::chrono::milliseconds(
      wholeNumber(Arguments, "--timeout-ms", MaxTimeoutMs));
  Options.Seed = wholeNumber(Arguments, "--seed");
  const auto Outcomes = caller::runReplay(
      Options, caller::readTraceFile(Arguments.at("--trace").asString()));
  if (Arguments.at("--log")) {
    std::ofstream Log(Arguments.at("--log").asString());
    for (const caller::outcome &Outcome : Outcomes)
      Log << json::serialize(caller::describeOutcome(Outcome)) << '\n';
  }
  fmt::print("{}\n", json::serialize(caller::summarize(Outcomes)));
  return 0;
}

int runGenerateCommand(const arguments &Arguments) {
  const auto &Shape =
      caller::findTraceShape(Arguments.at("--shape").asString());
  caller::writeTrace(
      std::cout,
      caller::generateTrace(Shape,
                            std::chrono::seconds(wholeNumber(
                                Arguments, "--seconds", MaxTraceSeconds)),
                            wholeNumber(Arguments, "--seed")));
  return 0;
}

int runCommand(int Argc, char **Argv) {
  const arguments Arguments =
      parseCommandLine("pomelo-caller", Usage, {Argv + 1, Argv + Argc});
  return Arguments.at("generate").asBool() ? runGenerateCommand(Arguments)
                                           : runReplayCommand(Arguments);
}

} // namespace

int main(int Argc, char **Argv) {
  return runDaemon("pomelo-caller", [=] { return runCommand(Argc, Argv); });
}
