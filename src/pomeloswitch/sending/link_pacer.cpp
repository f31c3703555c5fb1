#include "pomeloswitch/sending/link_pacer.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! Part of the link that bodies may take.
constexpr double BodyShare = 0.75;
//! A small message waits for one piece, so a piece takes about this long.
constexpr link_pacer::duration PieceTime{0.01};
constexpr double SmallestPieceBytes = 4 * 1024;
constexpr double LargestPieceBytes = 64 * 1024;
//! How far the link may fall behind before time that was left unused is lost:
//! covers timers that fire late.
constexpr milliseconds MaxCredit{20};

} // namespace

link_pacer::link_pacer(double LinkBytesPerSecond)
    : BytesPerSecond(LinkBytesPerSecond * BodyShare) {
  if (BytesPerSecond > 0)
    PieceBytes = static_cast<std::size_t>(
        std::clamp(BytesPerSecond * PieceTime.count(), SmallestPieceBytes,
                   LargestPieceBytes));
}

link_pacer::time_point link_pacer::take(std::size_t Bytes, time_point Now) {
  if (BytesPerSecond <= 0)
    return Now;
  const time_point Start = std::max(FreeAt, Now - MaxCredit);
  FreeAt = Start + std::chrono::ceil<time_point::duration>(transferTime(Bytes));
  return std::max(Start, Now);
}

link_pacer::duration link_pacer::backlog() const {
  return transferTime(PendingBytes);
}

link_pacer::duration link_pacer::transferTime(std::uint64_t Bytes) const {
  if (BytesPerSecond <= 0)
    return duration(0);
  return duration(static_cast<double>(Bytes) / BytesPerSecond);
}

link_pacer::pending_body::pending_body(link_pacer &Pacer, std::uint64_t Bytes)
    : Pacer(&Pacer), Left(Bytes) {
  Pacer.PendingBytes += Bytes;
}

link_pacer::pending_body::~pending_body() { sent(Left); }

link_pacer::pending_body::pending_body(pending_body &&Other) noexcept
    : Pacer(std::exchange(Other.Pacer, nullptr)),
      Left(std::exchange(Other.Left, 0)) {}

link_pacer::pending_body &
link_pacer::pending_body::operator=(pending_body &&Other) noexcept {
  std::swap(Pacer, Other.Pacer);
  std::swap(Left, Other.Left);
  return *this;
}

void link_pacer::pending_body::sent(std::uint64_t Bytes) {
  const std::uint64_t Counted = std::min(Bytes, Left);
  Left -= Counted;
  if (Pacer)
    Pacer->PendingBytes -= Counted;
}

} // namespace pomelo
