//! Sends raw bytes to a server, for tests of malformed input.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_RAW_CALL_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_RAW_CALL_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace pomelo::emulator {

//! A TCP connection on which a test writes arbitrary bytes.
class raw_connection {
public:
  explicit raw_connection(const std::string &Address);

  //! Sends until the peer stops accepting data; a closed peer is no error.
  void send(std::string_view Bytes);

  //! Reads until the peer closes, the data contains \p Enough or \p Timeout
  //! has passed; returns the data read.
  std::string receive(std::chrono::milliseconds Timeout,
                      std::string_view Enough = {});

  //! Whether the peer closed the connection within \p Timeout.
  bool closedWithin(std::chrono::milliseconds Timeout);

private:
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket;
  bool Closed = false;
};

} // namespace pomelo::emulator

#endif
