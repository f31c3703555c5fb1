#include "standin_target/work_slots.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pomelo::standin {

namespace asio = boost::asio;

asio::awaitable<bool> work_slots::acquire() {
  if (Running < Slots) {
    ++Running;
    co_return true;
  }
  if (Queue.size() >= QueueLength)
    co_return false;
  asio::steady_timer SlotTimer(Io, asio::steady_timer::time_point::max());
  Queue.push_back(&SlotTimer);
  boost::system::error_code Ignored;
  // release() passes its slot to this request and cancels the timer.
  co_await SlotTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  co_return true;
}

void work_slots::release() {
  if (Queue.empty()) {
    --Running;
    return;
  }
  Queue.front()->cancel();
  Queue.pop_front();
}

} // namespace pomelo::standin
