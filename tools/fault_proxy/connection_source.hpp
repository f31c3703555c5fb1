//! Tells which known process opened a loopback connection.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_CONNECTION_SOURCE_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_CONNECTION_SOURCE_HPP

#include <boost/asio/ip/tcp.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace pomelo::fault_proxy {

//! Names for processes, so that a fault can concern one side of a cut only.
//! Usable from several threads. A look-up reads the system's tables of sockets,
//! some milliseconds; the tables are kept for a moment.
class source_table {
public:
  //! \p Name stands for process \p Pid from now on; replaces an earlier one.
  void set(const std::string &Name, pid_t Pid);

  //! The tables are read again once they are this old.
  static constexpr std::chrono::milliseconds MaxAge{100};

  //! The name of the process that opened the connection accepted as
  //! \p Accepted; empty if it is none of the table; nothing if the connection
  //! is newer than the tables, which tell of it after MaxAge.
  [[nodiscard]] std::optional<std::string>
  sourceOf(const boost::asio::ip::tcp::socket &Accepted);

private:
  //! Port at the connecting end and port at the accepting end.
  using port_pair = std::pair<std::uint16_t, std::uint16_t>;

  void refresh();
  [[nodiscard]] std::optional<std::string> find(port_pair Ports) const;

  std::mutex Mutex;
  std::map<std::string, pid_t> PidByName;
  std::map<port_pair, std::string> InodeByPorts;
  std::map<std::string, std::string> NameByInode;
  std::chrono::steady_clock::time_point ReadAt;
};

} // namespace pomelo::fault_proxy

#endif
