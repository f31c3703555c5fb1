//! HTTP endpoint through which targets announce themselves and learn their
//! grants.
#ifndef POMELOSWITCH_ENTRY_ANNOUNCE_API_HPP
#define POMELOSWITCH_ENTRY_ANNOUNCE_API_HPP

#include "pomeloswitch/entry/pending_announcements.hpp"
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

//! Serves POST /v1/announce. A successful response renews the target's lease
//! and lists its grants; pending_announcements decides when it may be sent.
class announce_api {
public:
  announce_api(boost::asio::io_context &Io, control_session &Session)
      : Io(Io), Session(Session) {}

  //! Responds once the announcement is recorded and this host is up to date.
  //! \throws pomelo_error NotFound for another path or method, BadRequest for
  //!         an invalid body, Unauthenticated for a wrong credential, NoQuorum
  //!         if the announcement could not be answered within the timeout.
  boost::asio::awaitable<text_response> handle(const text_request &Request);

  //! Handles the leader's acknowledgement of a heartbeat's reports.
  void onAck(const wire::heartbeat_ack &Ack);
  //! Handles a newer replicated state.
  void onState(const cluster_state &State) { Pending.onApplied(State.index()); }

private:
  wire::target_report parse(const text_request &Request) const;
  //! The JSON response for the target described by \p Report.
  [[nodiscard]] std::string answerBody(const wire::target_report &Report) const;

  boost::asio::io_context &Io;
  control_session &Session;
  pending_announcements Pending;
};

} // namespace pomelo

#endif
