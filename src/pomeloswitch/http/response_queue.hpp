//! Order of the responses on one caller's connection.
#ifndef POMELOSWITCH_HTTP_RESPONSE_QUEUE_HPP
#define POMELOSWITCH_HTTP_RESPONSE_QUEUE_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <list>

namespace pomelo {

//! Maximum number of bytes that the responses of one connection hold in memory
//! while they wait for their turn.
inline constexpr std::size_t MaxHeldBytes = 256 * 1024;

class response_turn;

//! The requests of one connection that have been started and whose responses
//! are not complete, in the order of the requests.
class response_queue {
public:
  explicit response_queue(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  [[nodiscard]] std::size_t size() const { return Turns.size(); }

  //! Records that a response announces the end of the connection.
  void close() { Closing = true; }
  //! Ends all waits: no further response is written.
  void end();
  //! Whether no further request may be started.
  [[nodiscard]] bool closing() const { return Closing || Ended; }

private:
  friend class response_turn;
  void wakeAll();

  boost::asio::any_io_executor Executor;
  std::list<response_turn *> Turns;
  std::size_t HeldBytes = 0;
  bool Closing = false;
  bool Ended = false;
};

//! Place of one request in a response_queue, from construction to destruction.
class response_turn {
public:
  explicit response_turn(response_queue &Queue);
  ~response_turn();
  response_turn(const response_turn &) = delete;
  response_turn &operator=(const response_turn &) = delete;

  //! Whether all responses before this one are complete.
  [[nodiscard]] bool hasCome() const { return Queue.Turns.front() == this; }
  //! Whether no request behind this one has been started.
  [[nodiscard]] bool isLast() const { return Queue.Turns.back() == this; }
  [[nodiscard]] bool ended() const { return Queue.Ended; }
  //! Keeps requests behind this one from being started.
  void closeBehind() { Queue.close(); }

  //! Waits for the turn. Returns false if it did not come before \p Latest.
  //! \throws boost::system::system_error if the connection has ended.
  boost::asio::awaitable<bool>
  await(std::chrono::steady_clock::time_point Latest =
            std::chrono::steady_clock::time_point::max());
  //! Waits until the turn has come or \p Bytes more may be held, and then
  //! counts them. Returns whether they were counted; false at \p Latest.
  boost::asio::awaitable<bool>
  awaitRoom(std::size_t Bytes, std::chrono::steady_clock::time_point Latest);
  //! Records that \p Bytes are no longer held.
  void release(std::size_t Bytes);

private:
  friend class response_queue;
  boost::asio::awaitable<void>
  awaitChange(std::chrono::steady_clock::time_point Latest);

  response_queue &Queue;
  boost::asio::steady_timer Changed;
  std::size_t HeldBytes = 0;
};

} // namespace pomelo

#endif
