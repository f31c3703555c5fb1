#include "fault_proxy/connection_source.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace pomelo::fault_proxy {

using boost::asio::ip::tcp;
using std::chrono::steady_clock;

void source_table::set(const std::string &Name, pid_t Pid) {
  const std::scoped_lock Lock(Mutex);
  PidByName[Name] = Pid;
  ReadAt = {};
}

std::optional<std::string> source_table::sourceOf(const tcp::socket &Accepted) {
  boost::system::error_code Error;
  const auto Remote = Accepted.remote_endpoint(Error);
  if (Error)
    return std::string();
  const auto Local = Accepted.local_endpoint(Error);
  if (Error)
    return std::string();
  const port_pair Ports{Remote.port(), Local.port()};
  const std::scoped_lock Lock(Mutex);
  // Ports are reused quickly, so older tables could name the wrong process.
  if (steady_clock::now() - ReadAt < MaxAge)
    return find(Ports);
  refresh();
  return find(Ports).value_or("");
}

std::optional<std::string> source_table::find(port_pair Ports) const {
  const auto Inode = InodeByPorts.find(Ports);
  if (Inode == InodeByPorts.end())
    return std::nullopt;
  const auto Name = NameByInode.find(Inode->second);
  return Name == NameByInode.end() ? std::string() : Name->second;
}

void source_table::refresh() {
  InodeByPorts.clear();
  NameByInode.clear();
  std::ifstream Table("/proc/net/tcp");
  for (std::string Line; std::getline(Table, Line);) {
    unsigned LocalPort = 0;
    unsigned RemotePort = 0;
    unsigned long Inode = 0;
    // sscanf does not match the header line.
    if (std::sscanf(Line.c_str(),
                    " %*d: %*8x:%4x %*8x:%4x %*x %*s %*s %*s %*d %*d %lu",
                    &LocalPort, &RemotePort, &Inode) == 3)
      InodeByPorts[{static_cast<std::uint16_t>(LocalPort),
                    static_cast<std::uint16_t>(RemotePort)}] =
          fmt::format("socket:[{}]", Inode);
  }
  for (const auto &[Name, Pid] : PidByName) {
    std::error_code Error;
    for (const auto &Entry : std::filesystem::directory_iterator(
             fmt::format("/proc/{}/fd", Pid), Error)) {
      std::error_code Gone;
      const auto Link = std::filesystem::read_symlink(Entry.path(), Gone);
      if (!Gone && Link.native().starts_with("socket:"))
        NameByInode[Link.native()] = Name;
    }
  }
  ReadAt = steady_clock::now();
}

} // namespace pomelo::fault_proxy
