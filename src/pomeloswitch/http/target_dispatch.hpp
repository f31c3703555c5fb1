//! One attempt to send a request to a target.
#ifndef POMELOSWITCH_HTTP_TARGET_DISPATCH_HPP
#define POMELOSWITCH_HTTP_TARGET_DISPATCH_HPP

#include "pomeloswitch/http/caller_body.hpp"
#include "pomeloswitch/http/forwarded_headers.hpp"
#include "pomeloswitch/http/stream_parsers.hpp"
#include "pomeloswitch/http/target_dialect.hpp"
#include "pomeloswitch/http/upstream_pool.hpp"
#include "pomeloswitch/routing/target_notices.hpp"
#include "pomeloswitch/sending/link_pacer.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace pomelo {

//! Maximum size of all headers that a target sends for one request.
inline constexpr std::size_t MaxResponseHeaderBytes = 64 * 1024;

//! Maximum size of the late responses to other requests that are discarded
//! while the response to one request is awaited.
inline constexpr std::size_t MaxDiscardedBytes = 1024 * 1024;

//! How much of the request the target may have processed, in ascending order.
enum class attempt_progress {
  NothingSent, //!< No byte was sent, or the target stated that it did not run
               //!< the request.
  Sent,        //!< The request may have run.
  Answered,    //!< A complete response header was received.
};

//! Why an attempt ended without a response.
enum class attempt_failure {
  None,
  ConnectionLost, //!< The connection failed or the target closed it.
  TimedOut,       //!< The target did not respond in time.
  ProtocolError,  //!< The response is invalid or its end cannot be verified, or
                  //!< the body exceeded its limit.
};

//! Sends a request on a connection and reads the header of its response. send()
//! and readResponseHeader() throw pomelo_error: UpstreamFailed if the request
//! has not run, OutcomeUnknown if it may have run. progress() and
//! failureCause() then give the details.
class target_dispatch {
public:
  //! \p PendingBody counts the body's bytes at \p Link until they are sent.
  target_dispatch(upstream_connection &Connection, caller_body &Body,
                  const target_dialect &Dialect, std::string_view RequestId,
                  link_pacer &Link, link_pacer::pending_body &PendingBody)
      : Connection(Connection), Body(Body), Dialect(Dialect),
        RequestId(RequestId), Link(Link), PendingBody(PendingBody) {}

  //! \p MaxBodyBytes is the route's limit; it is enforced while the body is
  //! streamed.
  //! \p LongValues are those that placeholders in \p Header stand for.
  boost::asio::awaitable<void> send(const request_header &Header,
                                    const long_values &LongValues,
                                    std::uint64_t MaxBodyBytes,
                                    steady_time Deadline);

  //! Reads the response header, waiting until \p GiveUpAt.
  boost::asio::awaitable<void> readResponseHeader(steady_time GiveUpAt);

  //! Valid once readResponseHeader() has returned.
  response_stream_parser &response() { return *Response; }

  //! Whether the connection can be reused after the end of the response.
  [[nodiscard]] bool reusable() const;
  [[nodiscard]] attempt_progress progress() const { return Progress; }
  [[nodiscard]] attempt_failure failureCause() const { return FailureCause; }
  //! Metadata of the response header; default values until it has arrived.
  [[nodiscard]] const response_metadata &metadata() const { return Metadata; }
  //! What the target has said about further requests, in any response so far.
  [[nodiscard]] const target_notice &notice() const { return Notice; }
  //! Whether the target responded with a 5xx status.
  [[nodiscard]] bool answeredServerError() const;

private:
  using paced_message =
      boost::beast::http::request<boost::beast::http::buffer_body,
                                  relayed_fields>;
  using paced_serializer =
      boost::beast::http::request_serializer<boost::beast::http::buffer_body,
                                             relayed_fields>;
  using relayed_header = boost::beast::http::request_header<relayed_fields>;

  boost::asio::awaitable<void> sendBuffered(const relayed_header &Header);
  boost::asio::awaitable<void> sendInPieces(const relayed_header &Header);
  boost::asio::awaitable<boost::system::error_code>
  writePiece(paced_message &Message, paced_serializer &Serializer,
             std::span<const char> Piece);
  boost::asio::awaitable<void> streamBody(const relayed_header &Header,
                                          std::uint64_t MaxBodyBytes);
  void recordSent(boost::system::error_code Error, bool Complete);
  boost::asio::awaitable<bool> readHeader();
  [[noreturn]] void failRead(boost::system::error_code Error);
  boost::asio::awaitable<void> discardResponse();
  void checkResponse();
  void readNotice();
  [[noreturn]] void rejectResponse(const std::string &Reason);
  [[noreturn]] void fail(attempt_failure Cause, const std::string &Reason);

  upstream_connection &Connection;
  caller_body &Body;
  const target_dialect &Dialect;
  std::string_view RequestId;
  link_pacer &Link;
  link_pacer::pending_body &PendingBody;
  steady_time Deadline{}; //!< For sending the request.
  response_metadata Metadata;
  target_notice Notice;
  std::optional<response_stream_parser> Response;
  //! What may still be read of headers, including those of interim responses
  //! and of responses to other requests.
  std::size_t HeaderAllowance = MaxResponseHeaderBytes;
  //! What may still be read of the bodies of responses to other requests.
  std::size_t DiscardAllowance = MaxDiscardedBytes;
  attempt_progress Progress = attempt_progress::NothingSent;
  attempt_failure FailureCause = attempt_failure::None;
  bool ResponseHasNoBody = false; //!< The request was a HEAD.
  bool RequestFullySent = false;
  bool SendFailed = false; //!< A write reported an error of the connection.
  //! The target responded before the body was streamed to its end.
  bool EarlyResponse = false;
};

} // namespace pomelo

#endif
