//! Bounds the part of the host's link that bodies of requests and responses
//! take, so that small messages (heartbeats, leases, requests without a large
//! body) do not queue behind them.
//!
//! Uses neither clock nor sockets.
#ifndef POMELOSWITCH_SENDING_LINK_PACER_HPP
#define POMELOSWITCH_SENDING_LINK_PACER_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace pomelo {

class link_pacer {
public:
  using time_point = std::chrono::steady_clock::time_point;
  using duration = std::chrono::duration<double>;

  //! \p LinkBytesPerSecond is what the link carries in one direction; 0 if it
  //! is not known, then nothing is bounded.
  explicit link_pacer(double LinkBytesPerSecond = 0);

  //! Largest piece, in bytes, that a body is sent in.
  [[nodiscard]] std::size_t pieceBytes() const { return PieceBytes; }

  //! Returns when the next piece may be sent, \p Now at the earliest.
  [[nodiscard]] time_point freeAt(time_point Now) const {
    return std::max(FreeAt, Now);
  }

  //! Takes the link for a piece of \p Bytes after all pieces before it, and
  //! returns when the piece may be sent.
  time_point take(std::size_t Bytes, time_point Now);

  //! A body that has been admitted and has yet to be sent, until destruction.
  class pending_body {
  public:
    pending_body() = default;
    pending_body(link_pacer &Pacer, std::uint64_t Bytes);
    ~pending_body();
    pending_body(pending_body &&Other) noexcept;
    pending_body &operator=(pending_body &&Other) noexcept;
    pending_body(const pending_body &) = delete;
    pending_body &operator=(const pending_body &) = delete;

    //! Records that \p Bytes more of the body were sent.
    void sent(std::uint64_t Bytes);

  private:
    link_pacer *Pacer = nullptr;
    std::uint64_t Left = 0;
  };

  //! Returns how long the bodies that are pending keep the link.
  [[nodiscard]] duration backlog() const;
  //! Returns how long a body of \p Bytes alone keeps the link.
  [[nodiscard]] duration transferTime(std::uint64_t Bytes) const;

private:
  double BytesPerSecond = 0; //!< For bodies; 0 if not bounded.
  std::size_t PieceBytes = std::numeric_limits<std::size_t>::max();
  std::uint64_t PendingBytes = 0;
  time_point FreeAt{};
};

} // namespace pomelo

#endif
