#include "pomeloswitch/http/input_observer.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace pomelo {

namespace asio = boost::asio;
using asio::ip::tcp;

input_state peekInput(tcp::socket &Socket) {
  char Byte = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return input_state::Data;
  const bool Open = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return Open ? input_state::Nothing : input_state::Ended;
}

struct input_observer::shared_state {
  callback OnReadable; //!< Empty once called or cancelled.
  asio::cancellation_signal Cancel;
};

input_observer::input_observer(tcp::socket &Socket, callback OnReadable)
    : State(std::make_shared<shared_state>()) {
  State->OnReadable = std::move(OnReadable);
  Socket.async_wait(
      tcp::socket::wait_read,
      asio::bind_cancellation_slot(
          State->Cancel.slot(),
          [SharedState = State, &Socket](boost::system::error_code Error) {
            const callback Call = std::exchange(SharedState->OnReadable, {});
            if (Call && !Error)
              Call(peekInput(Socket));
          }));
}

input_observer::~input_observer() {
  State->OnReadable = {};
  State->Cancel.emit(asio::cancellation_type::all);
}

} // namespace pomelo
