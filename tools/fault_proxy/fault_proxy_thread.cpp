#include "fault_proxy/fault_proxy_thread.hpp"

#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/post.hpp>

#include <exception>
#include <future>

namespace pomelo::fault_proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

fault_proxy_thread::fault_proxy_thread()
    : Work(Io.get_executor()),
      Proxy(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Thread([this] { Io.run(); }) {}

fault_proxy_thread::~fault_proxy_thread() {
  Io.stop();
  Thread.join();
}

void fault_proxy_thread::perform(const std::function<void(proxy &)> &Do) {
  std::promise<void> Done;
  asio::post(Io, [&] {
    try {
      Do(Proxy);
      Done.set_value();
    } catch (...) {
      Done.set_exception(std::current_exception());
    }
  });
  Done.get_future().get();
}

std::string fault_proxy_thread::addRoute(const std::string &Name,
                                         const std::string &Upstream) {
  std::string Address;
  perform([&](proxy &Instance) {
    Address = toString(
        Instance.addRoute(Name, parseEndpoint(Upstream),
                          tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
  });
  return Address;
}

void fault_proxy_thread::setFaults(const std::string &Route,
                                   const route_faults &Faults) {
  perform([&](proxy &Instance) { Instance.route(Route).setFaults(Faults); });
}

void fault_proxy_thread::setFaultsFrom(const std::string &Route,
                                       const std::string &Source,
                                       const route_faults &Faults) {
  perform([&](proxy &Instance) {
    Instance.route(Route).setFaultsFrom(Source, Faults);
  });
}

void fault_proxy_thread::clearFaults(const std::string &Route) {
  perform([&](proxy &Instance) { Instance.route(Route).clearFaults(); });
}

void fault_proxy_thread::resetOpen(const std::string &Route) {
  perform([&](proxy &Instance) { Instance.route(Route).resetOpen(); });
}

void fault_proxy_thread::silenceOpen(const std::string &Route) {
  perform([&](proxy &Instance) { Instance.route(Route).silenceOpen(); });
}

std::size_t fault_proxy_thread::connections(const std::string &Route) {
  std::size_t Count = 0;
  perform(
      [&](proxy &Instance) { Count = Instance.route(Route).connections(); });
  return Count;
}

void fault_proxy_thread::setSource(const std::string &Name, pid_t Pid) {
  Proxy.sources().set(Name, Pid);
}

std::string fault_proxy_thread::controlAddress() {
  return toString(Proxy.controlAddress());
}

} // namespace pomelo::fault_proxy
