#include "standin_target/target_options.hpp"

#include "pomeloswitch/cli/command_line.hpp"

#include <limits>
#include <sstream>

namespace pomelo::standin {
namespace {

constexpr const char *Usage = R"(standin-target: a target for tests and demos.

Usage:
  standin-target --id=ID --service=NAME --domain=NAME --credential=TEXT
                 --announce=LIST [options]
  standin-target (-h | --help)

Options:
  --id=ID               Target id.
  --service=NAME        Service of the target.
  --domain=NAME         Failure domain of the target.
  --credential=TEXT     Credential of the service's targets.
  --announce=LIST       Announcement addresses, separated by commas.
  --address=ADDRESS     Address to listen on [default: 127.0.0.1:0].
  --announce-address=ADDRESS  Address to announce. Default: the listening
                        address.
  --slots=N             Requests served at a time [default: 2].
  --connections=N       Connections accepted at a time [default: 130].
  --queue=N             Requests that may wait for a slot [default: 4].
  --work-us=N           Service time of a request [default: 1000].
  --connection-us=N     Delay before a new connection is served [default: 1000].
  --cold-requests=N     Requests until a fresh process is warm [default: 0].
  --cold-open=N         Open requests accepted until then [default: 1].
  --cold-factor=N       Service time is multiplied by N until then [default: 5].
  --checks-fence        Refuse requests without a valid grant.
  --journal=FILE        Append a JSON line for each event.
  --ready-file=FILE     Write the bound address to FILE, as JSON, once ready.
  -h --help             Show this text.
)";

std::vector<std::string> splitList(const std::string &List) {
  std::vector<std::string> Items;
  std::istringstream Stream(List);
  for (std::string Item; std::getline(Stream, Item, ',');)
    Items.push_back(Item);
  return Items;
}

} // namespace

target_options parseTargetOptions(int Argc, char **Argv) {
  const arguments Arguments =
      parseCommandLine("standin-target", Usage, {Argv + 1, Argv + Argc});
  const auto Text = [&](const char *Name) {
    return Arguments.at(Name) ? Arguments.at(Name).asString() : std::string();
  };
  const auto Number = [&](const char *Name) {
    return static_cast<std::uint32_t>(wholeNumber(
        Arguments, Name, std::numeric_limits<std::uint32_t>::max()));
  };
  target_options Options;
  Options.TargetId = Text("--id");
  Options.Service = Text("--service");
  Options.FailureDomain = Text("--domain");
  Options.Credential = Text("--credential");
  Options.AnnounceAddresses = splitList(Text("--announce"));
  Options.Address = Text("--address");
  Options.AnnouncedAddress = Text("--announce-address");
  Options.Slots = Number("--slots");
  Options.Connections = Number("--connections");
  Options.QueueLength = Number("--queue");
  Options.Work = std::chrono::microseconds(Number("--work-us"));
  Options.ConnectionCost = std::chrono::microseconds(Number("--connection-us"));
  Options.ColdRequests = Number("--cold-requests");
  Options.ColdOpenRequests = Number("--cold-open");
  Options.ColdFactor = Number("--cold-factor");
  Options.ChecksFence = Arguments.at("--checks-fence").asBool();
  Options.JournalFile = Text("--journal");
  Options.ReadyFile = Text("--ready-file");
  return Options;
}

} // namespace pomelo::standin
