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
  Deadline = steady_clock::now() + Limit;
  for (simple_server *Server : Servers)
    Server->beginStop();
  poll();
}

void server_drain::poll() {
  if (std::ranges::all_of(Servers, &simple_server::idle) ||
      steady_clock::now() >= Deadline)
    return OnEnd();
  Timer.expires_after(PollInterval);
  Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      poll();
  });
}

} // namespace pomelo
