//! Test target that sends bytes without end and counts them.
#ifndef POMELOSWITCH_TESTS_HTTP_ENDLESS_BYTES_HPP
#define POMELOSWITCH_TESTS_HTTP_ENDLESS_BYTES_HPP

#include "scripted_target.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <ostream>
#include <string>
#include <thread>

namespace pomelo {

//! What a target sends in place of a response: a start and a piece that is
//! repeated until the connection is closed.
struct endless_bytes {
  std::string Name;
  std::string Start;
  std::string Piece;
  //! Pause between two pieces, so that each arrives by itself.
  std::chrono::milliseconds Pause{0};
};

inline void PrintTo(const endless_bytes &Case, std::ostream *Out) {
  *Out << Case.Name;
}

//! What a target can send before an unread connection blocks it: the buffers of
//! the kernel on both sides and what the receiver keeps. A receiver that goes
//! on reading takes some 1,000 MiB a second.
constexpr std::size_t MaxUnreadBytes = 16 << 20;

//! Size of a piece that a receiver without limits takes at full speed.
constexpr std::size_t LargePieceBytes = 64 << 10;

inline std::string filler(std::size_t Bytes) { return std::string(Bytes, 'x'); }

inline std::string repeated(const std::string &Text, std::size_t Bytes) {
  std::string Result;
  while (Result.size() < Bytes)
    Result += Text;
  return Result;
}

inline std::string chunk(std::size_t Bytes) {
  char Size[32];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes);
  return Size + filler(Bytes) + "\r\n";
}

//! Sends endless bytes on a connection and observes how it ends.
class endless_sender {
public:
  //! Returns once the peer has closed the connection.
  void run(scripted_connection &Connection, const endless_bytes &Bytes) {
    boost::system::error_code Error;
    Connection.socket().set_option(boost::asio::ip::tcp::no_delay(true), Error);
    write(Connection, Bytes.Start, Error);
    while (!Error) {
      if (Bytes.Pause.count() > 0)
        std::this_thread::sleep_for(Bytes.Pause);
      write(Connection, Bytes.Piece, Error);
    }
    Closed = true;
  }
  [[nodiscard]] std::size_t sent() const { return Sent; }
  [[nodiscard]] bool closed() const { return Closed; }

private:
  void write(scripted_connection &Connection, const std::string &Text,
             boost::system::error_code &Error) {
    Sent += boost::asio::write(Connection.socket(), boost::asio::buffer(Text),
                               Error);
  }

  std::atomic<std::size_t> Sent{0};
  std::atomic<bool> Closed{false};
};

} // namespace pomelo

#endif
