//! Test target whose behaviour on each connection is defined by a script.
#ifndef POMELOSWITCH_TESTS_HTTP_SCRIPTED_TARGET_HPP
#define POMELOSWITCH_TESTS_HTTP_SCRIPTED_TARGET_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <thread>

namespace pomelo {

//! The target's side of one connection, with blocking calls.
class scripted_connection {
public:
  scripted_connection(boost::asio::ip::tcp::socket Socket,
                      std::atomic<unsigned> &Requests)
      : Socket(std::move(Socket)), Requests(Requests) {}

  //! Reads the next request header. Returns its request target, or an empty
  //! string once the connection has ended.
  std::string readRequest() {
    boost::system::error_code Error;
    const auto Count = boost::asio::read_until(
        Socket, boost::asio::dynamic_buffer(Received), "\r\n\r\n", Error);
    if (Error)
      return {};
    ++Requests;
    Header = Received.substr(0, Count);
    const auto First = Received.find(' ') + 1;
    std::string Target =
        Received.substr(First, Received.find(' ', First) - First);
    Received.erase(0, Count);
    return Target;
  }
  //! The header of the latest request that was read.
  [[nodiscard]] const std::string &header() const { return Header; }
  //! Reads the first \p Bytes of a request's body, or what comes of them.
  std::string readBody(std::size_t Bytes) {
    boost::system::error_code Error;
    if (Received.size() < Bytes)
      boost::asio::read(Socket, boost::asio::dynamic_buffer(Received),
                        boost::asio::transfer_exactly(Bytes - Received.size()),
                        Error);
    std::string Body = Received.substr(0, Bytes);
    Received.erase(0, Bytes);
    return Body;
  }
  //! Reads a chunked body. Returns its content, or nothing if the connection
  //! ends before the body does.
  std::optional<std::string> readChunkedBody() {
    constexpr int Hexadecimal = 16;
    std::string Body;
    for (;;) {
      boost::system::error_code Error;
      const auto Line = boost::asio::read_until(
          Socket, boost::asio::dynamic_buffer(Received), "\r\n", Error);
      if (Error)
        return std::nullopt;
      const auto Size =
          std::stoul(Received.substr(0, Line), nullptr, Hexadecimal);
      Received.erase(0, Line);
      const std::string Chunk = readBody(Size + 2);
      if (Chunk.size() < Size + 2)
        return std::nullopt;
      if (Size == 0)
        return Body;
      Body += Chunk.substr(0, Size);
    }
  }
  void write(const std::string &Text) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Text), Ignored);
  }
  void answer(const std::string &Body) {
    write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
          "\r\n\r\n" + Body);
  }
  void reset() {
    boost::system::error_code Ignored;
    Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }
  //! Reads and discards requests until the peer ends the connection.
  void awaitEnd() {
    while (!readRequest().empty())
      ;
  }
  boost::asio::ip::tcp::socket &socket() { return Socket; }

private:
  boost::asio::ip::tcp::socket Socket;
  std::atomic<unsigned> &Requests;
  std::string Received;
  std::string Header;
};

//! Runs a script for each connection, each on its own thread.
class scripted_target {
public:
  //! Parameters: the connection and its zero-based number.
  using script = std::function<void(scripted_connection &, unsigned)>;

  explicit scripted_target(script Script)
      : Script(std::move(Script)),
        Acceptor(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        AcceptThread([this] { accept(); }) {}
  ~scripted_target() {
    Stopped = true;
    boost::system::error_code Ignored;
    boost::asio::ip::tcp::socket Unblock(Io);
    Unblock.connect(Acceptor.local_endpoint(), Ignored);
    AcceptThread.join();
    for (auto &Connection : Connections)
      ::shutdown(Connection.socket().native_handle(), SHUT_RDWR);
    for (auto &Thread : Threads)
      Thread.join();
  }

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const {
    return Acceptor.local_endpoint();
  }
  //! Number of requests whose header was read.
  [[nodiscard]] unsigned requests() const { return Requests; }

private:
  void accept() {
    for (;;) {
      boost::asio::ip::tcp::socket Socket = Acceptor.accept();
      if (Stopped)
        return;
      auto &Connection = Connections.emplace_back(std::move(Socket), Requests);
      const auto Number = static_cast<unsigned>(Connections.size() - 1);
      Threads.emplace_back([this, &Connection, Number] {
        Script(Connection, Number);
        boost::system::error_code Ignored;
        Connection.socket().shutdown(
            boost::asio::ip::tcp::socket::shutdown_both, Ignored);
      });
    }
  }

  script Script;
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<unsigned> Requests{0};
  std::atomic<bool> Stopped{false};
  std::list<scripted_connection> Connections;
  std::list<std::thread> Threads;
  std::thread AcceptThread;
};

} // namespace pomelo

#endif
