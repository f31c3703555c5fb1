//! Watching a connection for input while something else goes on.
#ifndef POMELOSWITCH_HTTP_READABLE_WATCH_HPP
#define POMELOSWITCH_HTTP_READABLE_WATCH_HPP

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace pomelo {

//! What waits to be read on a connection.
enum class input_state {
  Nothing,
  Data,
  Ended, //!< The peer has closed or reset the connection.
};

//! Looks without taking anything away or waiting.
input_state peekInput(boost::asio::ip::tcp::socket &Socket);

//! Calls back at most once, when input or the end of the connection arrives,
//! and not at all after its own destruction.
class readable_watch {
public:
  using callback = std::function<void(input_state)>;

  readable_watch(boost::asio::ip::tcp::socket &Socket, callback OnReadable);
  ~readable_watch();
  readable_watch(const readable_watch &) = delete;
  readable_watch &operator=(const readable_watch &) = delete;

private:
  struct shared_state;
  std::shared_ptr<shared_state> State;
};

} // namespace pomelo

#endif
