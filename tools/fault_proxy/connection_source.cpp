#include "fault_proxy/connection_source.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace pomelo::fault_proxy {
namespace {

using boost::asio::ip::tcp;

constexpr int InodeColumn = 9; // Of a line in the kernel's table.

std::string hexPort(std::uint16_t Port) { return fmt::format(":{:04X}", Port); }

//! The inode of the socket that is bound to \p LocalPort and connected to
//! \p RemotePort, as text; empty if there is none.
std::string inodeOf(std::uint16_t LocalPort, std::uint16_t RemotePort) {
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  std::getline(Table, Line);
  while (std::getline(Table, Line)) {
    std::istringstream Columns(Line);
    std::string Index;
    std::string Local;
    std::string Remote;
    Columns >> Index >> Local >> Remote;
    if (!Local.ends_with(hexPort(LocalPort)) ||
        !Remote.ends_with(hexPort(RemotePort)))
      continue;
    std::string Column;
    for (int Number = 3; Number <= InodeColumn; ++Number)
      Columns >> Column;
    return Column;
  }
  return {};
}

bool holdsSocket(pid_t Pid, const std::string &Inode) {
  const std::string Wanted = fmt::format("socket:[{}]", Inode);
  std::error_code Error;
  for (const auto &Entry : std::filesystem::directory_iterator(
           fmt::format("/proc/{}/fd", Pid), Error)) {
    std::error_code Gone;
    if (std::filesystem::read_symlink(Entry.path(), Gone) == Wanted)
      return true;
  }
  return false;
}

} // namespace

void source_table::set(const std::string &Name, pid_t Pid) {
  const std::scoped_lock Lock(Mutex);
  PidByName[Name] = Pid;
}

std::string source_table::sourceOf(const tcp::socket &Accepted) const {
  boost::system::error_code Error;
  const auto Remote = Accepted.remote_endpoint(Error);
  if (Error)
    return {};
  const auto Local = Accepted.local_endpoint(Error);
  if (Error)
    return {};
  const std::string Inode = inodeOf(Remote.port(), Local.port());
  if (Inode.empty())
    return {};
  const std::scoped_lock Lock(Mutex);
  for (const auto &[Name, Pid] : PidByName)
    if (holdsSocket(Pid, Inode))
      return Name;
  return {};
}

} // namespace pomelo::fault_proxy
