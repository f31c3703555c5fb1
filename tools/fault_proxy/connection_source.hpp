//! Finds the registered process that opened a loopback connection.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_CONNECTION_SOURCE_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_CONNECTION_SOURCE_HPP

#include <boost/asio/ip/tcp.hpp>

#include <sys/types.h>

#include <map>
#include <mutex>
#include <string>

namespace pomelo::fault_proxy {

//! Maps connections to named processes, so that faults can be limited to the
//! connections of one process. Asks the kernel for the one socket, so a lookup
//! takes as long beside many connections as beside few. Thread-safe.
class source_table {
public:
  //! Registers process \p Pid as \p Name; replaces an earlier registration.
  void set(const std::string &Name, pid_t Pid);

  //! Returns the name of the process that opened the connection \p Accepted;
  //! an empty string if that process is not registered or has closed it.
  //! \throws std::system_error if the kernel does not answer.
  [[nodiscard]] std::string
  sourceOf(const boost::asio::ip::tcp::socket &Accepted) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, pid_t> PidByName;
};

} // namespace pomelo::fault_proxy

#endif
