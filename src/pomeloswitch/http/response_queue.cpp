#include "pomeloswitch/http/response_queue.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace pomelo {

namespace asio = boost::asio;
using std::chrono::steady_clock;

void response_queue::end() {
  Ended = true;
  wakeAll();
}

void response_queue::wakeAll() {
  for (response_turn *Turn : Turns)
    Turn->Changed.cancel();
}

response_turn::response_turn(response_queue &Queue)
    : Queue(Queue), Changed(Queue.Executor) {
  Queue.Turns.push_back(this);
}

response_turn::~response_turn() {
  Queue.HeldBytes -= HeldBytes;
  Queue.Turns.remove(this);
  Queue.wakeAll();
}

asio::awaitable<bool> response_turn::await(steady_clock::time_point Latest) {
  while (!hasCome() && !ended() && steady_clock::now() < Latest)
    co_await awaitChange(Latest);
  if (ended())
    throw boost::system::system_error(
        make_error_code(boost::system::errc::connection_aborted));
  co_return hasCome();
}

asio::awaitable<bool>
response_turn::awaitRoom(std::size_t Bytes, steady_clock::time_point Latest) {
  while (!hasCome() && !ended() && steady_clock::now() < Latest &&
         Queue.HeldBytes + Bytes > MaxHeldBytes)
    co_await awaitChange(Latest);
  if (hasCome() || ended() || Queue.HeldBytes + Bytes > MaxHeldBytes)
    co_return false;
  Queue.HeldBytes += Bytes;
  HeldBytes += Bytes;
  co_return true;
}

void response_turn::release(std::size_t Bytes) {
  HeldBytes -= Bytes;
  Queue.HeldBytes -= Bytes;
  Queue.wakeAll();
}

asio::awaitable<void>
response_turn::awaitChange(steady_clock::time_point Latest) {
  Changed.expires_at(Latest);
  boost::system::error_code Ignored;
  co_await Changed.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace pomelo
