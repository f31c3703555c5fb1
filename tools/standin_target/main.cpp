#include "pomeloswitch/cli/daemon.hpp"
#include "pomeloswitch/wire/peer_link.hpp"
#include "standin_target/announcer.hpp"
#include "standin_target/target_options.hpp"
#include "standin_target/target_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

using namespace pomelo;

namespace {

constexpr auto DrainCheckInterval = std::chrono::milliseconds(20);

//! Stops the io_context once the target has left and is idle.
void stopWhenDrained(boost::asio::io_context &Io,
                     boost::asio::steady_timer &Timer,
                     const standin::announcer &Announcer,
                     const standin::target_server &Server) {
  if (Announcer.left() && Server.idle())
    return Io.stop();
  Timer.expires_after(DrainCheckInterval);
  Timer.async_wait([&](boost::system::error_code Error) {
    if (!Error)
      stopWhenDrained(Io, Timer, Announcer, Server);
  });
}

int serve(int Argc, char **Argv) {
  const auto Options = standin::parseTargetOptions(Argc, Argv);
  boost::asio::io_context Io{1};
  standin::grant_table Grants;
  standin::journal Journal(Options.JournalFile, Options.TargetId);
  Journal.write("process_start", {{"service", Options.Service},
                                  {"failure_domain", Options.FailureDomain}});
  standin::target_server Server(Io, Options, Grants, Journal);
  const std::string Address = toString(Server.address());
  standin::announcer Announcer(
      Io, Options,
      Options.AnnouncedAddress.empty() ? Address : Options.AnnouncedAddress,
      Grants);
  boost::asio::co_spawn(Io, Announcer.run(), boost::asio::detached);
  boost::asio::steady_timer DrainTimer(Io);
  stopOnSignal(Io, [&] {
    Announcer.leave();
    Journal.write("leaving", {});
    // A second signal stops at once, without waiting for grants to be revoked.
    stopOnSignal(Io, [&Io] { Io.stop(); });
    stopWhenDrained(Io, DrainTimer, Announcer, Server);
  });
  writeReadyFile(Options.ReadyFile,
                 boost::json::serialize(boost::json::object{
                     {"role", "target"},
                     {"target_id", Options.TargetId},
                     {"service", Options.Service},
                     {"failure_domain", Options.FailureDomain},
                     {"address", Address}}));
  Io.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runDaemon("standin-target", [=] { return serve(Argc, Argv); });
}
