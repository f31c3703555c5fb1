#include "fault_proxy/direction.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace pomelo::fault_proxy {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::size_t ChunkBytes = 16 * 1024;
constexpr std::size_t MaxQueuedBytes = 1024 * 1024;
// With a shared link: what TCP sends at a time, what it sends before the first
// acknowledgement, and its window at most.
constexpr std::size_t SegmentBytes = 1460;
constexpr std::size_t InitialWindowBytes = 10 * SegmentBytes;
constexpr std::size_t MaxWindowBytes = 64 * 1024;
constexpr std::uint64_t MicrosecondsPerSecond = 1'000'000;
constexpr std::uint64_t PiecesPerSecond = 50; // Used only with a rate limit.

} // namespace

direction::direction(tcp::socket &From, tcp::socket &To,
                     const direction_faults &Faults)
    : From(From), To(To), Faults(Faults), FaultsChanged(From.get_executor()),
      BackpressureTimer(From.get_executor()) {}

void direction::silence() {
  Silenced = true;
  wake();
}

void direction::stop() {
  Stopped = true;
  BackpressureTimer.cancel();
  wake();
}

asio::awaitable<void> direction::waitForChange() {
  if (Stopped)
    throw boost::system::system_error(asio::error::operation_aborted);
  FaultsChanged.expires_at(steady_clock::time_point::max());
  error_code Ignored;
  co_await FaultsChanged.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<void> direction::read() {
  for (;;) {
    chunk Chunk;
    Chunk.Bytes.resize(readBytes());
    error_code Error;
    const std::size_t Count = co_await From.async_read_some(
        asio::buffer(Chunk.Bytes),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error && Error != asio::error::eof)
      throw boost::system::system_error(Error);
    Chunk.Bytes.resize(Count);
    Chunk.ArrivesAt = steady_clock::now();
    if (Faults.Link)
      Chunk.ArrivesAt = Faults.Link->carry(Count, Chunk.ArrivesAt);
    QueuedBytes += Count;
    Queue.push_back(std::move(Chunk));
    wake();
    if (Error)
      co_return;
    // Backpressure: a blocked direction fills the sender's TCP window, as
    // packet loss would.
    while (QueuedBytes >= maxQueuedBytes() && !Stopped) {
      BackpressureTimer.expires_after(std::chrono::milliseconds(1));
      co_await BackpressureTimer.async_wait(asio::use_awaitable);
    }
  }
}

asio::awaitable<limit_outcome> direction::write() {
  for (;;) {
    while (Queue.empty() || blocked())
      co_await waitForChange();
    const chunk Chunk = std::move(Queue.front());
    Queue.pop_front();
    co_await waitUntilDue(Chunk);
    while (blocked())
      co_await waitForChange();
    if (Chunk.Bytes.empty()) {
      error_code Ignored;
      To.shutdown(tcp::socket::shutdown_send, Ignored);
      co_return limit_outcome::None;
    }
    QueuedBytes -= Chunk.Bytes.size();
    const limit_outcome Outcome = co_await forward(Chunk.Bytes);
    if (Outcome != limit_outcome::None)
      co_return Outcome;
  }
}

asio::awaitable<limit_outcome> direction::forward(std::span<const char> Bytes) {
  while (!Bytes.empty()) {
    const std::size_t Count = pieceBytes(Bytes.size());
    co_await asio::async_write(To, asio::buffer(Bytes.data(), Count),
                               asio::use_awaitable);
    Bytes = Bytes.subspan(Count);
    ForwardedBytes += Count;
    const limit_outcome Outcome = reachedLimit();
    if (Outcome != limit_outcome::None)
      co_return Outcome;
    co_await pace(Count);
  }
  co_return limit_outcome::None;
}

asio::awaitable<void> direction::waitUntilDue(const chunk &Chunk) {
  for (;;) {
    const auto Due = Chunk.ArrivesAt + Faults.Delay;
    if (steady_clock::now() >= Due || Stopped)
      co_return;
    FaultsChanged.expires_at(Due);
    error_code Ignored;
    co_await FaultsChanged.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

asio::awaitable<void> direction::pace(std::size_t Bytes) {
  const std::uint64_t Rate = Faults.BytesPerSecond;
  if (Rate == 0)
    co_return;
  const auto Until =
      steady_clock::now() +
      std::chrono::microseconds(Bytes * MicrosecondsPerSecond / Rate);
  // A change of the rate limit ends the pause.
  while (!Stopped && Faults.BytesPerSecond == Rate &&
         steady_clock::now() < Until) {
    FaultsChanged.expires_at(Until);
    error_code Ignored;
    co_await FaultsChanged.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

std::size_t direction::pieceBytes(std::size_t Wanted) const {
  std::uint64_t Count = Wanted;
  if (Faults.BytesPerSecond != 0)
    Count = std::min(Count, Faults.BytesPerSecond / PiecesPerSecond + 1);
  for (const std::uint64_t Limit :
       {Faults.CloseAfterBytes, Faults.ResetAfterBytes})
    if (Limit > ForwardedBytes)
      Count = std::min(Count, Limit - ForwardedBytes);
  return static_cast<std::size_t>(Count);
}

std::size_t direction::readBytes() const {
  return Faults.Link ? SegmentBytes : ChunkBytes;
}

//! On a shared link the queue is the connection's window, which grows by what
//! has arrived (TCP's slow start).
std::size_t direction::maxQueuedBytes() const {
  if (!Faults.Link)
    return MaxQueuedBytes;
  return static_cast<std::size_t>(std::min<std::uint64_t>(
      MaxWindowBytes, InitialWindowBytes + ForwardedBytes));
}

limit_outcome direction::reachedLimit() const {
  if (Faults.ResetAfterBytes != 0 && ForwardedBytes >= Faults.ResetAfterBytes)
    return limit_outcome::Reset;
  if (Faults.CloseAfterBytes != 0 && ForwardedBytes >= Faults.CloseAfterBytes)
    return limit_outcome::Close;
  return limit_outcome::None;
}

} // namespace pomelo::fault_proxy
