#include "pomeloswitch/http/server_drain.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds PollInterval{5};

} // namespace

server_drain::server_drain(boost::asio::io_context &Io,
                           std::vector<simple_server *> GivenServers,
                           std::function<void()> GivenOnEnd)
    : Servers(std::move(GivenServers)), OnEnd(std::move(GivenOnEnd)),
      Timer(Io) {}

void server_drain::begin(std::chrono::milliseconds Limit) {
  LastOpen = steady_clock::now();
  Deadline = LastOpen + Limit;
  for (simple_server *Server : Servers)
    Server->beginStop();
  poll();
}

bool server_drain::ended() {
  const auto Now = steady_clock::now();
  if (std::ranges::any_of(Servers, &simple_server::openCalls))
    LastOpen = Now;
  return std::ranges::all_of(Servers, &simple_server::idle) ||
         Now >= std::min(Deadline, LastOpen + LastRequestWait);
}

void server_drain::poll() {
  if (ended())
    return OnEnd();
  Timer.expires_after(PollInterval);
  Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      poll();
  });
}

} // namespace pomelo
