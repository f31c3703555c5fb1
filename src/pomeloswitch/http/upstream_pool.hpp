//! Connections to targets, kept open between requests.
#ifndef POMELOSWITCH_HTTP_UPSTREAM_POOL_HPP
#define POMELOSWITCH_HTTP_UPSTREAM_POOL_HPP

#include "pomeloswitch/routing/routing_view.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace pomelo {

using steady_time = std::chrono::steady_clock::time_point;

//! One open connection to a target.
struct upstream_connection {
  explicit upstream_connection(const boost::asio::any_io_executor &Executor)
      : Stream(Executor) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  steady_time LastProven{}; //!< When the peer last answered on it.
};

//! How a connection was come by.
enum class connection_need {
  Any,    //!< One that was idle will do.
  Proven, //!< Newly opened, or answered on a moment ago.
};

class upstream_pool;

//! A connection on loan from a pool. It is closed on destruction unless it was
//! given back by keep().
class upstream_loan {
public:
  upstream_loan(upstream_pool &Pool, std::string TargetKey,
                std::unique_ptr<upstream_connection> Connection)
      : Pool(&Pool), TargetKey(std::move(TargetKey)),
        Connection(std::move(Connection)) {}
  ~upstream_loan();
  upstream_loan(upstream_loan &&Other) noexcept = default;
  upstream_loan &operator=(upstream_loan &&) = delete;

  upstream_connection &operator*() { return *Connection; }
  upstream_connection *operator->() { return Connection.get(); }

  //! Gives the connection back for the next request.
  void keep();

private:
  upstream_pool *Pool;
  std::string TargetKey;
  std::unique_ptr<upstream_connection> Connection;
};

//! The connections of one traffic thread to all targets. At most a target's
//! connection share is open to it at a time; who comes later waits in order.
class upstream_pool {
public:
  explicit upstream_pool(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  //! \throws pomelo_error Overloaded if no connection came free before
  //!         \p Deadline, UpstreamFailed if the target cannot be reached.
  boost::asio::awaitable<upstream_loan> acquire(const routing_target &Target,
                                                connection_need Need,
                                                steady_time Deadline);

  //! Requests that hold or await a connection to the target.
  [[nodiscard]] std::size_t load(const routing_target &Target) const;

  //! Closes idle connections to targets that \p View no longer has.
  void retain(const routing_view &View);

private:
  friend class upstream_loan;
  using waiter = boost::asio::steady_timer;

  struct target_pool {
    std::deque<std::unique_ptr<upstream_connection>> Idle;
    std::deque<waiter *> Waiters;
    std::size_t Lent = 0;
  };

  static std::string keyOf(const routing_target &Target);
  std::unique_ptr<upstream_connection> takeIdle(target_pool &Pool,
                                                connection_need Need);
  boost::asio::awaitable<void> awaitTurn(const std::string &Key,
                                         steady_time Deadline);
  boost::asio::awaitable<std::unique_ptr<upstream_connection>>
  connect(const routing_target &Target, steady_time Deadline);
  void finish(const std::string &Key,
              std::unique_ptr<upstream_connection> Kept);

  boost::asio::any_io_executor Executor;
  std::map<std::string, target_pool, std::less<>> Pools;
};

} // namespace pomelo

#endif
