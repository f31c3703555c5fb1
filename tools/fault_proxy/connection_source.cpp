#include "fault_proxy/connection_source.hpp"

#include <fmt/format.h>

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace pomelo::fault_proxy {
namespace {

using boost::asio::ip::tcp;

//! A netlink socket for sock_diag(7); closed on destruction.
class diagnostic_socket {
public:
  diagnostic_socket()
      : Descriptor(
            socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG)) {
    if (Descriptor < 0)
      fail("open");
  }
  ~diagnostic_socket() { close(Descriptor); }
  diagnostic_socket(const diagnostic_socket &) = delete;
  diagnostic_socket &operator=(const diagnostic_socket &) = delete;

  //! Returns the inode of the TCP socket that is bound to \p Local and
  //! connected to \p Remote; 0 if there is none or it is closed.
  std::uint32_t inodeOf(const tcp::endpoint &Local,
                        const tcp::endpoint &Remote) const {
    send(Local, Remote);
    return receive();
  }

private:
  [[noreturn]] static void fail(const char *Step) {
    throw std::system_error(errno, std::generic_category(),
                            fmt::format("cannot {} a socket diagnosis", Step));
  }

  static void setAddress(__be32 *To, const tcp::endpoint &Endpoint) {
    To[0] = htonl(Endpoint.address().to_v4().to_uint());
  }

  void send(const tcp::endpoint &Local, const tcp::endpoint &Remote) const {
    struct {
      nlmsghdr Header;
      inet_diag_req_v2 Query;
    } Message{};
    Message.Header.nlmsg_len = sizeof(Message);
    Message.Header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    Message.Header.nlmsg_flags = NLM_F_REQUEST;
    Message.Query.sdiag_family = AF_INET;
    Message.Query.sdiag_protocol = IPPROTO_TCP;
    Message.Query.idiag_states = ~0U;
    inet_diag_sockid &Id = Message.Query.id;
    Id.idiag_sport = htons(Local.port());
    Id.idiag_dport = htons(Remote.port());
    setAddress(Id.idiag_src, Local);
    setAddress(Id.idiag_dst, Remote);
    Id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    Id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    if (::send(Descriptor, &Message, sizeof(Message), 0) < 0)
      fail("request");
  }

  std::uint32_t receive() const {
    std::array<char, 4096> Buffer{};
    const ssize_t Count = recv(Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Count < 0)
      fail("receive");
    const auto Payload = static_cast<std::size_t>(Count) - NLMSG_HDRLEN;
    nlmsghdr Header;
    std::memcpy(&Header, Buffer.data(), sizeof(Header));
    if (Header.nlmsg_type == SOCK_DIAG_BY_FAMILY &&
        Payload >= sizeof(inet_diag_msg)) {
      inet_diag_msg Found;
      std::memcpy(&Found, Buffer.data() + NLMSG_HDRLEN, sizeof(Found));
      return Found.idiag_inode;
    }
    nlmsgerr Error;
    std::memcpy(&Error, Buffer.data() + NLMSG_HDRLEN, sizeof(Error));
    errno = -Error.error;
    if (errno != ENOENT)
      fail("obtain");
    return 0;
  }

  int Descriptor;
};

//! Whether the process has the socket with inode \p Inode open.
bool holdsSocket(pid_t Pid, std::uint32_t Inode) {
  const std::string Sought = fmt::format("socket:[{}]", Inode);
  std::error_code Gone;
  std::filesystem::directory_iterator Entry(fmt::format("/proc/{}/fd", Pid),
                                            Gone);
  for (; !Gone && Entry != std::filesystem::directory_iterator();
       Entry.increment(Gone)) {
    std::error_code Closed;
    if (std::filesystem::read_symlink(Entry->path(), Closed) == Sought)
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
  boost::system::error_code Closed;
  const auto Client = Accepted.remote_endpoint(Closed);
  if (Closed)
    return {};
  const auto Inode =
      diagnostic_socket().inodeOf(Client, Accepted.local_endpoint());
  if (Inode == 0)
    return {};
  const std::scoped_lock Lock(Mutex);
  for (const auto &[Name, Pid] : PidByName)
    if (holdsSocket(Pid, Inode))
      return Name;
  return {};
}

} // namespace pomelo::fault_proxy
