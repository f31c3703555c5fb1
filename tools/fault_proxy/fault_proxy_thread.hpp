//! Runs a fault proxy on its own thread, for tests and tools.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_FAULT_PROXY_THREAD_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_FAULT_PROXY_THREAD_HPP

#include "fault_proxy/fault_proxy.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <functional>
#include <string>
#include <thread>

namespace pomelo::fault_proxy {

//! Calls run on the proxy's thread and block until they are done, except
//! setSource() and controlAddress(), which run on the caller's thread.
class fault_proxy_thread {
public:
  fault_proxy_thread();
  ~fault_proxy_thread();
  fault_proxy_thread(const fault_proxy_thread &) = delete;
  fault_proxy_thread &operator=(const fault_proxy_thread &) = delete;

  //! Adds a route to \p Upstream (IP:port) and returns the proxy's address.
  std::string addRoute(const std::string &Name, const std::string &Upstream);
  void setFaults(const std::string &Route, const route_faults &Faults);
  void setFaultsFrom(const std::string &Route, const std::string &Source,
                     const route_faults &Faults);
  void clearFaults(const std::string &Route);
  void resetOpen(const std::string &Route);
  void silenceOpen(const std::string &Route);
  //! Returns the number of open connections on the route.
  std::size_t connections(const std::string &Route);

  //! Registers process \p Pid as source \p Name for setFaultsFrom().
  void setSource(const std::string &Name, pid_t Pid);
  //! IP:port of the HTTP control endpoint.
  std::string controlAddress();

private:
  //! Runs \p Do on the proxy's thread; rethrows its exception to the caller.
  void perform(const std::function<void(proxy &)> &Do);

  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  proxy Proxy;
  std::thread Thread;
};

} // namespace pomelo::fault_proxy

#endif
