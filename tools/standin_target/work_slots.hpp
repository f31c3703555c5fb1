//! Execution slots of a stand-in target and the queue for them.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_WORK_SLOTS_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_WORK_SLOTS_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>

namespace pomelo::standin {

//! Limits the requests that run at a time; further ones wait in FIFO order.
class work_slots {
public:
  work_slots(boost::asio::io_context &Io, std::uint32_t Slots,
             std::uint32_t QueueLength)
      : Io(Io), Slots(Slots), QueueLength(QueueLength) {}

  //! Waits for a slot; returns false at once if the queue is full.
  boost::asio::awaitable<bool> acquire();
  //! Passes the slot to the first waiting request, if any, or frees it.
  void release();

  [[nodiscard]] std::uint32_t running() const { return Running; }
  [[nodiscard]] std::size_t queued() const { return Queue.size(); }

private:
  boost::asio::io_context &Io;
  std::uint32_t Slots;
  std::uint32_t QueueLength;
  std::uint32_t Running = 0;
  std::deque<boost::asio::steady_timer *> Queue;
};

} // namespace pomelo::standin

#endif
