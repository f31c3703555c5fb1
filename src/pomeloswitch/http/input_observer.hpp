//! Asynchronous detection of input on a connection.
#ifndef POMELOSWITCH_HTTP_INPUT_OBSERVER_HPP
#define POMELOSWITCH_HTTP_INPUT_OBSERVER_HPP

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace pomelo {

//! State of the input of a connection.
enum class input_state {
  Nothing,
  Data,
  Ended, //!< The peer has closed or reset the connection.
};

//! Inspects the input without blocking or consuming it.
input_state peekInput(boost::asio::ip::tcp::socket &Socket);

//! Invokes a callback at most once, when input arrives or the connection ends,
//! and never after its own destruction.
class input_observer {
public:
  using callback = std::function<void(input_state)>;

  input_observer(boost::asio::ip::tcp::socket &Socket, callback OnReadable);
  ~input_observer();
  input_observer(const input_observer &) = delete;
  input_observer &operator=(const input_observer &) = delete;

private:
  struct shared_state;
  std::shared_ptr<shared_state> State;
};

} // namespace pomelo

#endif
