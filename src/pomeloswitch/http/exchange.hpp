//! One request of a caller, from its header to the end of the answer.
#ifndef POMELOSWITCH_HTTP_EXCHANGE_HPP
#define POMELOSWITCH_HTTP_EXCHANGE_HPP

#include "pomeloswitch/http/forwarded_headers.hpp"
#include "pomeloswitch/http/traffic_context.hpp"
#include "pomeloswitch/routing/route_table.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <optional>
#include <string>

namespace pomelo {

//! Bytes of a body that are relayed at a time.
inline constexpr std::size_t RelayChunkBytes = 64 * 1024;

using request_stream_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using response_stream_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

class exchange {
public:
  exchange(traffic_context &Context, boost::beast::tcp_stream &Caller,
           boost::beast::flat_buffer &CallerBuffer,
           request_stream_parser &Request);

  //! Serves the request, whose header has been read. Returns whether the
  //! caller's connection can carry another request.
  //! \throws boost::system::system_error when the caller's connection must be
  //!         closed with its answer unfinished.
  boost::asio::awaitable<bool> run();

private:
  //! What has become known to the target of one attempt.
  enum class attempt_progress { NothingSent, Sent, AnswerBegun };

  struct plan {
    route Route;
    std::string Account;
    std::optional<std::string> Key;
    steady_time Deadline;
    std::int64_t DeadlineUnixMs = 0;
  };

  boost::asio::awaitable<void> serve();
  plan makePlan() const;
  boost::asio::awaitable<void> continueIfExpected();
  boost::asio::awaitable<void> bufferSmallBody();
  boost::asio::awaitable<bool> attempt();
  boost::asio::awaitable<slot_owner> awaitOwner();
  routing_target_ptr chooseTarget();
  void checkMayDispatch(const slot_owner &Owner) const;
  request_header dispatchHeader(const slot_owner &Owner);
  boost::asio::awaitable<void> sendRequest(upstream_connection &Connection,
                                           const request_header &Header);
  boost::asio::awaitable<void> streamBody(upstream_connection &Connection,
                                          const request_header &Header);
  boost::asio::awaitable<bool> relayAnswer(upstream_connection &Connection);
  boost::asio::awaitable<void> relayBody(upstream_connection &Connection,
                                         response_stream_parser &Answer);
  boost::asio::awaitable<void> writeError(const pomelo_error &Refusal);
  [[noreturn]] void failAttempt(const std::string &Reason) const;
  [[nodiscard]] bool mayTryAgain(error_kind Kind) const;

  traffic_context &Context;
  boost::beast::tcp_stream &Caller;
  boost::beast::flat_buffer &CallerBuffer;
  request_stream_parser &Request;
  std::shared_ptr<const routing_view> View;
  plan Plan;
  std::string SmallBody; //!< The whole body, if BodyBuffered.
  bool BodyBuffered = false;
  bool BodyStreamed = false; //!< Some of the body is gone from Request.
  attempt_progress Progress = attempt_progress::NothingSent;
  unsigned Attempts = 0;
  std::vector<std::string> TriedTargets;
  bool CallerKeepAlive = true;
};

} // namespace pomelo

#endif
