//! Tells which known process opened a loopback connection.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_CONNECTION_SOURCE_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_CONNECTION_SOURCE_HPP

#include <boost/asio/ip/tcp.hpp>

#include <sys/types.h>

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace pomelo::fault_proxy {

//! Names for processes, so that a fault can concern one side of a cut only.
//! Usable from several threads.
class source_table {
public:
  //! \p Name stands for process \p Pid from now on; replaces an earlier one.
  void set(const std::string &Name, pid_t Pid);

  //! The name of the process that opened the connection accepted as
  //! \p Accepted; empty if it is none of the table.
  [[nodiscard]] std::string
  sourceOf(const boost::asio::ip::tcp::socket &Accepted) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, pid_t> PidByName;
};

} // namespace pomelo::fault_proxy

#endif
