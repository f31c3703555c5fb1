#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>

namespace review {
namespace {

constexpr std::size_t ReadSize = 64 * 1024;

double monotonic() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool sameName(const std::string &Left, const std::string &Right) {
  return strcasecmp(Left.c_str(), Right.c_str()) == 0;
}

sockaddr_in toSockaddr(const address &At) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(At.Port);
  inet_pton(AF_INET, At.Ip.c_str(), &Out.sin_addr);
  return Out;
}

bool awaitEvent(int Socket, short Events, double Until) {
  for (;;) {
    const double Left = Until - monotonic();
    if (Left <= 0)
      return false;
    pollfd Poll{Socket, Events, 0};
    const int Ready = ::poll(&Poll, 1, static_cast<int>(Left * 1000) + 1);
    if (Ready > 0)
      return true;
    if (Ready < 0 && errno != EINTR)
      return false;
  }
}

std::string reasonOf(int Status) { return Status < 300 ? "OK" : "Other"; }

} // namespace

address parseAddress(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  return {Text.substr(0, Colon),
          static_cast<std::uint16_t>(std::atoi(Text.c_str() + Colon + 1))};
}

std::string http_message::field(const std::string &Name) const {
  for (const auto &[Each, Value] : Fields)
    if (sameName(Each, Name))
      return Value;
  return {};
}

bool http_message::has(const std::string &Name) const {
  return std::any_of(Fields.begin(), Fields.end(), [&](const auto &Field) {
    return sameName(Field.first, Name);
  });
}

std::string http_message::method() const {
  return StartLine.substr(0, StartLine.find(' '));
}

std::string http_message::path() const {
  const auto Begin = StartLine.find(' ') + 1;
  return StartLine.substr(Begin, StartLine.find(' ', Begin) - Begin);
}

int http_message::status() const {
  return std::atoi(StartLine.c_str() + StartLine.find(' ') + 1);
}

std::string serialize(const http_message &Message) {
  std::string Out = Message.StartLine + "\r\n";
  for (const auto &[Name, Value] : Message.Fields)
    Out.append(Name).append(": ").append(Value).append("\r\n");
  return Out.append("\r\n").append(Message.Body);
}

http_message makeRequest(const std::string &Method, const std::string &Path,
                         const std::string &Host, const std::string &Body,
                         const header_fields &Fields) {
  http_message Request{Method + " " + Path + " HTTP/1.1", {{"Host", Host}}, {}};
  Request.Fields.insert(Request.Fields.end(), Fields.begin(), Fields.end());
  if (!Body.empty() || Method == "POST") {
    Request.Fields.emplace_back("Content-Type", "application/json");
    Request.Fields.emplace_back("Content-Length", std::to_string(Body.size()));
  }
  Request.Body = Body;
  return Request;
}

http_message makeAnswer(int Status, const std::string &Body,
                        const header_fields &Fields) {
  http_message Answer{"HTTP/1.1 " + std::to_string(Status) + " " +
                          reasonOf(Status),
                      Fields, Body};
  Answer.Fields.emplace_back("Content-Length", std::to_string(Body.size()));
  return Answer;
}

tcp_connection::~tcp_connection() { ::close(Socket); }

std::unique_ptr<tcp_connection> tcp_connection::open(const address &To,
                                                     double Seconds) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return nullptr;
  auto Connection = std::make_unique<tcp_connection>(Socket);
  const sockaddr_in Address = toSockaddr(To);
  const int Started = ::connect(
      Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  if (Started != 0 && errno != EINPROGRESS)
    return nullptr;
  if (!awaitEvent(Socket, POLLOUT, monotonic() + Seconds))
    return nullptr;
  int Error = 0;
  socklen_t Size = sizeof(Error);
  if (::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 || Error)
    return nullptr;
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Connection;
}

bool tcp_connection::write(const std::string &Bytes) {
  constexpr double WriteSeconds = 10;
  const double Until = monotonic() + WriteSeconds;
  for (std::size_t Sent = 0; Sent < Bytes.size();) {
    const auto Count = ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count > 0) {
      Sent += static_cast<std::size_t>(Count);
      continue;
    }
    if (Count < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    if (!awaitEvent(Socket, POLLOUT, Until))
      return false;
  }
  return true;
}

bool tcp_connection::fill(double Until) {
  if (!awaitEvent(Socket, POLLIN, Until))
    return false;
  std::string Bytes(ReadSize, '\0');
  const auto Count = ::recv(Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
  if (Count < 0)
    return errno == EAGAIN || errno == EINTR;
  Buffer.append(Bytes, 0, static_cast<std::size_t>(Count));
  return Count > 0;
}

bool tcp_connection::readLine(std::string &Line, double Until) {
  for (;;) {
    const auto End = Buffer.find("\r\n");
    if (End != std::string::npos) {
      Line = Buffer.substr(0, End);
      Buffer.erase(0, End + 2);
      return true;
    }
    if (!fill(Until))
      return false;
  }
}

bool tcp_connection::readBytes(std::string &Out, std::size_t Count,
                               double Until) {
  while (Buffer.size() < Count)
    if (!fill(Until))
      return false;
  Out.append(Buffer, 0, Count);
  Buffer.erase(0, Count);
  return true;
}

std::optional<http_message> tcp_connection::read(double Seconds) {
  const double Until = monotonic() + Seconds;
  http_message Message;
  if (!readLine(Message.StartLine, Until))
    return std::nullopt;
  for (std::string Line; readLine(Line, Until) && !Line.empty();) {
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      return std::nullopt;
    const auto Value = Line.find_first_not_of(' ', Colon + 1);
    Message.Fields.emplace_back(
        Line.substr(0, Colon),
        Value == std::string::npos ? std::string() : Line.substr(Value));
  }
  if (Message.has("Content-Length")) {
    const auto Length = static_cast<std::size_t>(
        std::atoll(Message.field("Content-Length").c_str()));
    if (!readBytes(Message.Body, Length, Until))
      return std::nullopt;
  } else if (sameName(Message.field("Transfer-Encoding"), "chunked")) {
    for (std::string Line; readLine(Line, Until);) {
      const auto Length =
          static_cast<std::size_t>(std::strtoull(Line.c_str(), nullptr, 16));
      std::string LineEnd;
      if (!readBytes(Message.Body, Length, Until) || !readLine(LineEnd, Until))
        return std::nullopt;
      if (Length == 0)
        return Message;
    }
    return std::nullopt;
  }
  return Message;
}

bool tcp_connection::ended() const {
  char Byte = 0;
  const auto Count = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR);
}

void tcp_connection::shutDown() const { ::shutdown(Socket, SHUT_RDWR); }

call_result call(const address &To, const http_message &Request,
                 double Seconds) {
  const double Until = monotonic() + Seconds;
  const auto Connection = tcp_connection::open(To, Seconds);
  if (!Connection || !Connection->write(serialize(Request)))
    return {};
  return {Connection->read(Until - monotonic())};
}

bool http_server::start(const address &At) {
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = toSockaddr(At);
  if (::bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Listener, SOMAXCONN) != 0) {
    ::close(Listener);
    Listener = -1;
    return false;
  }
  Stopping = false;
  Acceptor = std::thread([this] { acceptLoop(); });
  return true;
}

void http_server::stop() {
  if (Listener < 0)
    return;
  Stopping = true;
  ::shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(Listener);
  Listener = -1;
  std::list<std::thread> Ending;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &Connection : Open)
      Connection->shutDown();
    Ending.swap(Threads);
  }
  for (std::thread &Thread : Ending)
    Thread.join();
}

void http_server::acceptLoop() {
  while (!Stopping) {
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    auto Connection = std::make_shared<tcp_connection>(Socket);
    const std::lock_guard Lock(Mutex);
    Open.insert(Connection);
    Threads.emplace_back([this, Connection] { serve(Connection); });
  }
}

void http_server::serve(const std::shared_ptr<tcp_connection> &Connection) {
  constexpr double IdleSeconds = 10;
  while (!Stopping) {
    const auto Request = Connection->read(IdleSeconds);
    if (!Request)
      break;
    const auto Answer = Handler(*Request);
    if (!Answer || Stopping || !Connection->write(serialize(*Answer)))
      break;
  }
  Connection->shutDown();
  const std::lock_guard Lock(Mutex);
  Open.erase(Connection);
}

std::uint16_t freePort() {
  static std::set<std::uint16_t> Given;
  for (;;) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0)
      return 0;
    ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    ::close(Socket);
    const std::uint16_t Port = ntohs(Address.sin_port);
    if (Given.insert(Port).second)
      return Port;
  }
}

} // namespace review
