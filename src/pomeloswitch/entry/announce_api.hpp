//! Where targets announce themselves and learn of their grants.
#ifndef POMELOSWITCH_ENTRY_ANNOUNCE_API_HPP
#define POMELOSWITCH_ENTRY_ANNOUNCE_API_HPP

#include "pomeloswitch/http/simple_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelo::wire {
class heartbeat_ack;
class target_report;
} // namespace pomelo::wire

namespace pomelo {

class control_session;

//! Serves POST /v1/announce. An announcement is answered once the leader has
//! recorded it, so that an answer renews the target's lease.
class announce_api {
public:
  announce_api(boost::asio::io_context &Io, control_session &Session)
      : Io(Io), Session(Session) {}

  boost::asio::awaitable<text_response> handle(const text_request &Request);

  //! Releases the announcements that \p Ack confirms.
  void onAck(const wire::heartbeat_ack &Ack);

private:
  struct waiting {
    explicit waiting(boost::asio::io_context &Io) : Timer(Io) {}
    boost::asio::steady_timer Timer;
    std::uint64_t Sequence = 0; //!< Of the heartbeat that carries the report.
    bool Recorded = false;
  };

  wire::target_report parse(const text_request &Request) const;
  [[nodiscard]] std::string grantsOf(const wire::target_report &Report) const;

  boost::asio::io_context &Io;
  control_session &Session;
  std::multimap<std::string, std::shared_ptr<waiting>> Waiting;
};

} // namespace pomelo

#endif
