#include "standin_target/work_slots.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pomelo::standin {

namespace asio = boost::asio;

asio::awaitable<bool> work_slots::enter() {
  if (Running < Slots) {
    ++Running;
    co_return true;
  }
  if (Queue.size() >= QueueLength)
    co_return false;
  asio::steady_timer Turn(Io, asio::steady_timer::time_point::max());
  Queue.push_back(&Turn);
  boost::system::error_code Ignored;
  // leave() hands its slot over and cancels the timer.
  co_await Turn.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
  co_return true;
}

void work_slots::leave() {
  if (Queue.empty()) {
    --Running;
    return;
  }
  Queue.front()->cancel();
  Queue.pop_front();
}

} // namespace pomelo::standin
