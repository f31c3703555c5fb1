#include "pomeloswitch/cli/daemon.hpp"
#include "pomeloswitch/control/control_host.hpp"

using namespace pomelo;

namespace {

constexpr std::string_view Name = "pomelo-control";

int serve(int Argc, char **Argv) {
  const daemon_options Options = parseDaemonOptions(
      Name, "pomelo-control: stores the replicated state of a deployment.",
      Argc, Argv);
  control_settings Settings =
      parseControlSettings(readFile(Options.SettingsFile));
  if (Options.CheckOnly)
    return 0;
  applyLogSettings(Settings.Log);
  boost::asio::io_context Io{1};
  auto Log = openRaftLog(Io, Settings);
  const auto Host = control_host::builder()
                        .withIo(Io)
                        .withSettings(std::move(Settings))
                        .withLog(std::move(Log))
                        .build();
  Host->start();
  // A reload only validates the settings: group membership is part of the
  // replicated state, not of the settings.
  reloadOnSignal(
      Io, [&Options] { parseControlSettings(readFile(Options.SettingsFile)); });
  stopOnSignal(Io, [&Host, &Io] { Host->beginStop({}, [&Io] { Io.stop(); }); });
  writeReadyFile(Options.ReadyFile, Host->describe());
  Io.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runDaemon(Name, [=] { return serve(Argc, Argv); });
}
