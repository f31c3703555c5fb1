//! The connections that a server keeps from one request to the next.
#ifndef POMELOSWITCH_HTTP_KEPT_CONNECTIONS_HPP
#define POMELOSWITCH_HTTP_KEPT_CONNECTIONS_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <set>

namespace pomelo {

//! Wait for a further request on a connection that outlived the listener.
inline constexpr std::chrono::milliseconds LastRequestWait{500};

//! One connection, and what was read from it in advance.
struct kept_connection {
  explicit kept_connection(boost::asio::ip::tcp::socket Socket)
      : Stream(std::move(Socket)) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  bool Serving = false; //!< A request was read and is not answered yet.
};

//! Waits until a request begins to arrive, for \p Timeout at most. Returns at
//! once if one already has.
boost::asio::awaitable<boost::system::error_code>
awaitRequest(kept_connection &Connection, std::chrono::milliseconds Timeout);

//! Owned by one thread; provides no locking.
class kept_connections {
  using connection_set = std::set<std::shared_ptr<kept_connection>>;

public:
  //! Counts a connection as open for its own lifetime, which may be longer than
  //! that of the server.
  class registration {
  public:
    registration(std::shared_ptr<connection_set> GivenConnections,
                 boost::asio::ip::tcp::socket Socket);
    ~registration();
    registration(const registration &) = delete;
    registration &operator=(const registration &) = delete;

    [[nodiscard]] kept_connection &connectionOf() const { return *Connection; }

  private:
    std::shared_ptr<connection_set> Connections;
    std::shared_ptr<kept_connection> Connection;
  };

  [[nodiscard]] std::unique_ptr<registration>
  add(boost::asio::ip::tcp::socket Socket) const;

  //! Ends the wait for a request on each connection on which none has begun to
  //! arrive.
  void cancelIdle() const;

  [[nodiscard]] std::size_t size() const { return Connections->size(); }
  [[nodiscard]] bool empty() const { return Connections->empty(); }

private:
  std::shared_ptr<connection_set> Connections =
      std::make_shared<connection_set>();
};

//! Marks a connection as serving a request for its own lifetime.
class serving_guard {
public:
  explicit serving_guard(kept_connection &Connection)
      : Serving(Connection.Serving) {
    Serving = true;
  }
  ~serving_guard() { Serving = false; }
  serving_guard(const serving_guard &) = delete;
  serving_guard &operator=(const serving_guard &) = delete;

private:
  bool &Serving;
};

} // namespace pomelo

#endif
