#include "pomeloswitch/cli/daemon.hpp"
#include "pomeloswitch/entry/entry_host.hpp"

using namespace pomelo;

namespace {

constexpr std::string_view Name = "pomelo-entry";

int serve(int Argc, char **Argv) {
  const daemon_options Options = parseDaemonOptions(
      Name, "pomelo-entry: forwards callers' requests to targets.", Argc, Argv);
  entry_settings Settings = parseEntrySettings(readFile(Options.SettingsFile));
  if (Options.CheckOnly)
    return 0;
  applyLogSettings(Settings.Log);
  boost::asio::io_context Io{1};
  const auto Host = entry_host::builder()
                        .withIo(Io)
                        .withSettings(std::move(Settings))
                        .build();
  Host->start();
  reloadOnSignal(Io, [&Host, &Options] {
    Host->reload(parseEntrySettings(readFile(Options.SettingsFile)));
  });
  stopOnSignal(Io, [&Host] { Host->beginStop(); });
  writeReadyFile(Options.ReadyFile, Host->describe());
  Io.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runDaemon(Name, [=] { return serve(Argc, Argv); });
}
