#include "emulator/raw_call.hpp"

#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/write.hpp>

#include <array>

namespace pomelo::emulator {

namespace asio = boost::asio;
using boost::system::error_code;

raw_connection::raw_connection(const std::string &Address) : Socket(Io) {
  Socket.connect(parseEndpoint(Address));
}

void raw_connection::send(std::string_view Bytes) {
  error_code Ignored;
  asio::write(Socket, asio::buffer(Bytes), Ignored);
}

std::string raw_connection::receive(std::chrono::milliseconds Timeout,
                                    std::string_view Enough) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  std::string Received;
  std::array<char, 4096> Chunk{};
  bool TimedOut = false;
  while (!Closed && !TimedOut) {
    if (!Enough.empty() && Received.find(Enough) != std::string::npos)
      break;
    bool Read = false;
    Socket.async_read_some(
        asio::buffer(Chunk), [&](error_code Error, std::size_t Count) {
          Read = true;
          Received.append(Chunk.data(), Count);
          Closed = Error && Error != asio::error::operation_aborted;
        });
    Io.restart();
    Io.run_until(Deadline);
    if (Read)
      continue;
    TimedOut = true;
    Socket.cancel();
    Io.restart();
    Io.run();
  }
  return Received;
}

bool raw_connection::closedWithin(std::chrono::milliseconds Timeout) {
  receive(Timeout);
  return Closed;
}

} // namespace pomelo::emulator
