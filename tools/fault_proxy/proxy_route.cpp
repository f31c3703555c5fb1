#include "fault_proxy/proxy_route.hpp"

#include "fault_proxy/proxied_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace pomelo::fault_proxy {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

proxy_route::proxy_route(asio::io_context &Io, const tcp::endpoint &Listen,
                         const tcp::endpoint &Upstream,
                         const source_table *Sources)
    : Io(Io), Acceptor(Io, Listen), Address(Acceptor.local_endpoint()),
      Upstream(Upstream), Sources(Sources) {
  asio::co_spawn(Io, acceptLoop(*this, Open),
                 [](const std::exception_ptr &Failure) {
                   if (Failure)
                     std::rethrow_exception(Failure);
                 });
}

proxy_route::~proxy_route() {
  *Open = false;
  resetOpen();
}

asio::awaitable<void> proxy_route::acceptLoop(proxy_route &Route,
                                              std::shared_ptr<bool> Open) {
  for (;;) {
    error_code Error;
    tcp::socket Socket = co_await Route.Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Error));
    if (!*Open)
      co_return;
    if (Error)
      continue;
    auto Connection = std::make_shared<proxied_connection>(std::move(Socket));
    Connection->setFaults(Route.faultsOf(*Connection));
    Route.Connections.insert(Connection);
    // The route outlives its connections: its destructor closes them.
    Connection->start(Route.Upstream, [&Route, Raw = Connection.get()] {
      Route.Connections.erase(Raw->shared_from_this());
    });
  }
}

route_faults proxy_route::faultsOf(proxied_connection &Connection) {
  if (!Sources || BySource.empty())
    return DefaultFaults;
  const auto SourceFaults = BySource.find(Connection.source(*Sources));
  return SourceFaults == BySource.end() ? DefaultFaults : SourceFaults->second;
}

void proxy_route::applyFaults() {
  const auto Current = Connections;
  for (const auto &Connection : Current)
    Connection->setFaults(faultsOf(*Connection));
}

void proxy_route::setFaults(const route_faults &Faults) {
  DefaultFaults = Faults;
  applyFaults();
}

void proxy_route::setFaultsFrom(const std::string &Source,
                                const route_faults &Faults) {
  BySource[Source] = Faults;
  applyFaults();
}

void proxy_route::clearFaults() {
  DefaultFaults = {};
  BySource.clear();
  applyFaults();
}

void proxy_route::resetOpen() {
  const auto Current = Connections;
  for (const auto &Connection : Current)
    Connection->reset();
}

void proxy_route::silenceOpen() {
  for (const auto &Connection : Connections)
    Connection->silence();
}

} // namespace pomelo::fault_proxy
