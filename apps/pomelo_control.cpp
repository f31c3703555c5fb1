#include "pomeloswitch/cli/daemon.hpp"
#include "pomeloswitch/control/control_host.hpp"
#include "pomeloswitch/raft/file_storage.hpp"
#include "pomeloswitch/raft/raft_log.hpp"

using namespace pomelo;

namespace {

constexpr std::string_view Name = "pomelo-control";

std::unique_ptr<raft_log> openLog(boost::asio::io_context &Io,
                                  const control_settings &Settings) {
  raft_log::options Options;
  Options.HostId = Settings.HostId;
  Options.Secret = Settings.ClusterSecret;
  Options.Members = Settings.Members;
  return std::make_unique<raft_log>(
      Io, std::move(Options),
      std::make_unique<file_storage>(Settings.DataFolder, Settings.HostId));
}

int serve(int Argc, char **Argv) {
  const daemon_options Options = parseDaemonOptions(
      Name, "pomelo-control: holds the replicated state of a deployment.", Argc,
      Argv);
  control_settings Settings =
      parseControlSettings(readFile(Options.SettingsFile));
  if (Options.CheckOnly)
    return 0;
  applyLogSettings(Settings.Log);
  boost::asio::io_context Io{1};
  auto Log = openLog(Io, Settings);
  const auto Host = control_host::builder()
                        .withIo(Io)
                        .withSettings(std::move(Settings))
                        .withLog(std::move(Log))
                        .build();
  Host->start();
  stopOnSignal(Io, [&Host, &Io] {
    Host->stop();
    Io.stop();
  });
  writeReadyFile(Options.ReadyFile, Host->describe());
  Io.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runDaemon(Name, [=] { return serve(Argc, Argv); });
}
