#include "pomeloswitch/http/link_turn.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace pomelo {

namespace asio = boost::asio;

asio::awaitable<bool>
awaitLink(link_pacer &Link, std::size_t Bytes,
          std::chrono::steady_clock::time_point Deadline) {
  if (Bytes == 0)
    co_return true;
  const auto Now = std::chrono::steady_clock::now();
  if (Link.freeAt(Now) > Deadline)
    co_return false;
  const auto Turn = Link.take(Bytes, Now);
  if (Turn <= Now)
    co_return true;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_at(Turn);
  co_await Timer.async_wait(asio::use_awaitable);
  co_return true;
}

} // namespace pomelo
