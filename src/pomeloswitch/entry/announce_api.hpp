//! Where targets announce themselves and learn of their grants.
#ifndef POMELOSWITCH_ENTRY_ANNOUNCE_API_HPP
#define POMELOSWITCH_ENTRY_ANNOUNCE_API_HPP

#include "pomeloswitch/entry/announcement_waits.hpp"
#include "pomeloswitch/http/simple_server.hpp"
#include "pomeloswitch/state/cluster_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace pomelo::wire {
class heartbeat_ack;
class target_report;
} // namespace pomelo::wire

namespace pomelo {

class control_session;

//! Serves POST /v1/announce. An answer renews the target's lease and names its
//! grants; see announcement_waits for when it is given.
class announce_api {
public:
  announce_api(boost::asio::io_context &Io, control_session &Session)
      : Io(Io), Session(Session) {}

  boost::asio::awaitable<text_response> handle(const text_request &Request);

  void onAck(const wire::heartbeat_ack &Ack);
  void onState(const cluster_state &State) { Waits.applied(State.index()); }

private:
  wire::target_report parse(const text_request &Request) const;
  [[nodiscard]] std::string grantsOf(const wire::target_report &Report) const;

  boost::asio::io_context &Io;
  control_session &Session;
  announcement_waits Waits;
};

} // namespace pomelo

#endif
