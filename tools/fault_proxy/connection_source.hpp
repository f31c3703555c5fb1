//! Finds the registered process that opened a loopback connection.
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

//! Maps connections to named processes, so that faults can be limited to the
//! connections of one process. Thread-safe. A lookup may read the system's
//! socket tables, which takes some milliseconds; they are cached for MaxAge.
class source_table {
public:
  //! Registers process \p Pid as \p Name; replaces an earlier registration.
  void set(const std::string &Name, pid_t Pid);

  //! Age at which the cached tables are read again.
  static constexpr std::chrono::milliseconds MaxAge{100};

  //! Returns the name of the process that opened the connection \p Accepted;
  //! an empty string if that process is not registered; nothing if the
  //! connection is newer than the cached tables: retry after MaxAge.
  [[nodiscard]] std::optional<std::string>
  sourceOf(const boost::asio::ip::tcp::socket &Accepted);

private:
  //! Port of the connecting end, then port of the accepting end.
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
