#include "proxy.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <string>

namespace review {
namespace {

constexpr int PollMs = 5;

sockaddr_in toSockaddr(const address &At) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(At.Port);
  inet_pton(AF_INET, At.Ip.c_str(), &Out.sin_addr);
  return Out;
}

void pause() { std::this_thread::sleep_for(std::chrono::milliseconds(PollMs)); }

bool writeAll(int Socket, const std::string &Bytes,
              const std::atomic<bool> &Stopping) {
  for (std::size_t Sent = 0; Sent < Bytes.size() && !Stopping;) {
    const auto Count = ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count > 0)
      Sent += static_cast<std::size_t>(Count);
    else if (errno == EAGAIN || errno == EINTR)
      pause();
    else
      return false;
  }
  return !Stopping;
}

} // namespace

bool cut_proxy::start() {
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = toSockaddr(At);
  if (::bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Listener, SOMAXCONN) != 0)
    return false;
  Acceptor = std::thread([this] { acceptLoop(); });
  return true;
}

void cut_proxy::stop() {
  if (Stopping.exchange(true) || Listener < 0)
    return;
  ::shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(Listener);
  for (std::thread &Thread : Threads)
    Thread.join();
}

void cut_proxy::acceptLoop() {
  while (!Stopping) {
    const int Near = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Near < 0)
      continue;
    const std::lock_guard Lock(Mutex);
    Threads.emplace_back([this, Near] { serve(Near); });
  }
}

//! A connection that is opened during a cut opens once it heals.
void cut_proxy::serve(int Near) {
  while (Cut && !Stopping)
    pause();
  const int Far = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = toSockaddr(To);
  const int On = 1;
  ::setsockopt(Near, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  ::setsockopt(Far, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (::connect(Far, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0) {
    std::thread Back([this, Near, Far] { pass(Far, Near); });
    pass(Near, Far);
    Back.join();
  }
  ::close(Near);
  ::close(Far);
}

//! Passes bytes on until the sender ends. During a cut it goes on reading, as
//! the sender's own kernel would keep the bytes, but holds them back.
void cut_proxy::pass(int From, int Into) {
  std::string Held;
  bool Ended = false;
  while (!Stopping) {
    if (!Ended) {
      pollfd Poll{From, POLLIN, 0};
      if (::poll(&Poll, 1, PollMs) > 0) {
        std::string Bytes(64 * 1024, '\0');
        const auto Count =
            ::recv(From, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
        if (Count > 0)
          Held.append(Bytes, 0, static_cast<std::size_t>(Count));
        else if (Count == 0)
          Ended = true;
        else if (errno != EAGAIN && errno != EINTR)
          break; // Reset: what was held is lost.
      }
    } else {
      pause();
    }
    if (Cut)
      continue;
    if (!Held.empty() && !writeAll(Into, Held, Stopping))
      break;
    Held.clear();
    if (Ended) {
      ::shutdown(Into, SHUT_WR);
      return;
    }
  }
  ::shutdown(From, SHUT_RDWR);
  ::shutdown(Into, SHUT_RDWR);
}

} // namespace review
