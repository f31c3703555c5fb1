//! Pool of persistent connections to targets.
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

//! Maximum size of unparsed input, e.g. of a chunk's size line or a trailer.
inline constexpr std::size_t MaxUpstreamBufferBytes = 64 * 1024;

//! One open connection to a target.
struct upstream_connection {
  explicit upstream_connection(const boost::asio::any_io_executor &Executor)
      : Stream(Executor) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer{MaxUpstreamBufferBytes};
  //! When it was opened or last returned to the pool.
  steady_time LastActive{};
  bool Reused = false; //!< Whether an earlier request used it.
};

//! Which connections are acceptable for a request.
enum class connection_requirement {
  Any,            //!< Any open connection.
  RecentlyActive, //!< Newly opened, or recently used.
};

class upstream_pool;

//! A connection that is in use by one request. Destruction closes it unless
//! returnToPool() was called.
class pooled_connection {
public:
  pooled_connection(upstream_pool &Pool, std::string TargetKey,
                    std::unique_ptr<upstream_connection> Connection)
      : Pool(&Pool), TargetKey(std::move(TargetKey)),
        Connection(std::move(Connection)) {}
  ~pooled_connection();
  pooled_connection(pooled_connection &&Other) noexcept = default;
  pooled_connection &operator=(pooled_connection &&) = delete;

  upstream_connection &operator*() { return *Connection; }
  upstream_connection *operator->() { return Connection.get(); }

  //! Returns the connection to the pool for reuse.
  void returnToPool();

private:
  upstream_pool *Pool;
  std::string TargetKey;
  std::unique_ptr<upstream_connection> Connection;
};

//! Connections of one traffic thread to all targets. At most ConnectionShare
//! connections to each target are open at a time; further requests wait in FIFO
//! order. If the share shrinks, connections beyond it are closed as soon as no
//! request uses them.
class upstream_pool {
public:
  explicit upstream_pool(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  //! \throws pomelo_error Overloaded if no connection became available before
  //! \p Deadline, UpstreamFailed if the target cannot be reached.
  boost::asio::awaitable<pooled_connection>
  acquire(const routing_target &Target, connection_requirement Requirement,
          steady_time Deadline);

  //! Number of requests that use or wait for a connection to the target.
  [[nodiscard]] std::size_t load(const routing_target &Target) const;

  //! Adopts the connection shares of \p View. Closes idle connections beyond
  //! them and to targets that are no longer in it.
  void retain(const routing_view &View);

  //! Ends all waits for a free connection, as if their deadline had passed.
  void endWaits();

private:
  friend class pooled_connection;
  using waiter = boost::asio::steady_timer;

  struct target_pool {
    std::deque<std::unique_ptr<upstream_connection>> Idle;
    std::deque<waiter *> Waiters;
    std::size_t InUse = 0; //!< Connections of requests, or promised to them.
    //! Requests that have been promised a connection and have yet to take it.
    std::size_t Promised = 0;
    std::size_t Share = 1; //!< The latest ConnectionShare of the target.
  };

  static std::string keyOf(const routing_target &Target);
  std::unique_ptr<upstream_connection>
  takeIdle(target_pool &Pool, connection_requirement Requirement);
  boost::asio::awaitable<void> awaitFreeConnection(const std::string &Key,
                                                   steady_time Deadline);
  boost::asio::awaitable<std::unique_ptr<upstream_connection>>
  connect(const routing_target &Target, steady_time Deadline);
  static void closeBeyondShare(target_pool &Pool);
  void release(const std::string &Key,
               std::unique_ptr<upstream_connection> Returned);

  boost::asio::any_io_executor Executor;
  std::map<std::string, target_pool, std::less<>> Pools;
};

} // namespace pomelo

#endif
