#include "fault_proxy/fault_proxy.hpp"
#include "pomeloswitch/cli/command_line.hpp"
#include "pomeloswitch/cli/daemon.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/json.hpp>

using namespace pomelo;

namespace {

constexpr const char *Usage = R"(fault-proxy: a TCP proxy with fault injection.

Usage:
  fault-proxy [options]
  fault-proxy (-h | --help)

Options:
  --control=ADDRESS  HTTP control endpoint, IP:port [default: 127.0.0.1:0].
  --ready-file=FILE  Write the bound control address to FILE, as JSON.
  -h --help          Show this text.
)";

int serve(int Argc, char **Argv) {
  const arguments Arguments =
      parseCommandLine("fault-proxy", Usage, {Argv + 1, Argv + Argc});
  boost::asio::io_context Io{1};
  fault_proxy::proxy Proxy(Io,
                           parseEndpoint(Arguments.at("--control").asString()));
  stopOnSignal(Io, [&Io] { Io.stop(); });
  const auto &ReadyFile = Arguments.at("--ready-file");
  writeReadyFile(ReadyFile ? ReadyFile.asString() : std::string(),
                 boost::json::serialize(boost::json::object{
                     {"role", "fault-proxy"},
                     {"control_address", toString(Proxy.controlAddress())}}));
  Io.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runDaemon("fault-proxy", [=] { return serve(Argc, Argv); });
}
