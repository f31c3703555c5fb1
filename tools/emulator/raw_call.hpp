//! Raw bytes to a server, for tests of malformed input.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_RAW_CALL_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_RAW_CALL_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace pomelo::emulator {

//! One connection on which a test writes whatever bytes it wants.
class raw_connection {
public:
  explicit raw_connection(const std::string &Address);

  //! Sends as much as the peer takes; a closed peer is no error.
  void send(std::string_view Bytes);

  //! Everything that the peer sends until it closes, \p Enough is contained
  //! or \p Timeout has passed.
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
