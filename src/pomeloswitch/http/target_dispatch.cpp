#include "pomeloswitch/http/target_dispatch.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/http/limited_read.hpp"
#include "pomeloswitch/http/link_turn.hpp"
#include "pomeloswitch/http/response_watch.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <span>
#include <vector>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

auto redirect(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

//! The class of the numeric status: the enumerated one is "unknown" for a code
//! without a name, e.g. 103.
http::status_class statusClassOf(const response_stream_parser &Response) {
  return http::to_status_class(Response.get().result_int());
}

bool hasValidStatus(const response_stream_parser &Response) {
  return statusClassOf(Response) != http::status_class::unknown;
}

bool isInformational(const response_stream_parser &Response) {
  return statusClassOf(Response) == http::status_class::informational;
}

template <typename header>
header withLongValues(const request_header &From,
                      const long_values &LongValues) {
  header Result;
  static_cast<header_fields &>(Result) = From;
  Result.method_string(From.method_string());
  Result.target(From.target());
  Result.version(From.version());
  Result.setLongValues(LongValues);
  return Result;
}

bool isParseError(error_code Error) {
  const bool FromParser =
      Error.category() == make_error_code(http::error::bad_version).category();
  return FromParser && Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

} // namespace

asio::awaitable<void> target_dispatch::send(const request_header &GivenHeader,
                                            const long_values &LongValues,
                                            std::uint64_t MaxBodyBytes,
                                            steady_time Deadline) {
  const auto Header = withLongValues<relayed_header>(GivenHeader, LongValues);
  ResponseHasNoBody = Header.method() == http::verb::head;
  this->Deadline = Deadline;
  Connection.Stream.expires_at(Deadline);
  Progress = attempt_progress::Sent;
  if (!Body.fullyBuffered())
    co_await streamBody(Header, MaxBodyBytes);
  else if (Body.prefix().size() > Link.pieceBytes())
    co_await sendInPieces(Header);
  else
    co_await sendBuffered(Header);
}

asio::awaitable<void>
target_dispatch::sendBuffered(const relayed_header &Header) {
  using span_body = http::span_body<const char>;
  http::request<span_body, relayed_fields> Message(Header);
  const std::string_view Content = Body.prefix();
  Message.body() = {Content.data(), Content.size()};
  if (!Content.empty() || Header.count(http::field::content_length))
    Message.content_length(Content.size());
  error_code Error;
  co_await http::async_write(Connection.Stream, Message, redirect(Error));
  if (Error == beast::error::timeout)
    fail(attempt_failure::TimedOut,
         "sending the request to the target timed out");
  // A target may respond and close the connection before it has read the whole
  // request. Its response can still be read, so a write error is not final.
  recordSent(Error, true);
}

//! Sends a body that is buffered, but large.
asio::awaitable<void>
target_dispatch::sendInPieces(const relayed_header &Header) {
  paced_message Message(Header);
  Message.content_length(Body.prefix().size());
  Message.body().data = nullptr;
  Message.body().more = true;
  paced_serializer Serializer(Message);
  error_code Error;
  co_await http::async_write_header(Connection.Stream, Serializer,
                                    redirect(Error));
  if (!Error)
    Error = co_await writePiece(Message, Serializer, Body.prefix());
  if (!Error)
    Error = co_await writePiece(Message, Serializer, {});
  if (Error == beast::error::timeout)
    fail(attempt_failure::TimedOut, "sending the body to the target timed out");
  recordSent(Error, true);
}

//! Writes a piece of the body in parts, each once the link is free for it. An
//! empty piece ends the body.
asio::awaitable<error_code>
target_dispatch::writePiece(paced_message &Message,
                            paced_serializer &Serializer,
                            std::span<const char> Piece) {
  error_code Error;
  do {
    const auto Part = Piece.first(std::min(Piece.size(), Link.pieceBytes()));
    const bool InTime = co_await awaitLink(Link, Part.size(), Deadline);
    if (!InTime)
      co_return beast::error::timeout;
    Message.body().data = const_cast<char *>(Part.data());
    Message.body().size = Part.size();
    Message.body().more = !Part.empty();
    co_await http::async_write(Connection.Stream, Serializer, redirect(Error));
    if (Error == http::error::need_buffer)
      Error = {};
    PendingBody.sent(Part.size());
    Piece = Piece.subspan(Part.size());
  } while (!Error && !Piece.empty() && !EarlyResponse);
  co_return Error;
}

//! Streams the body from the caller. If the target's final response comes
//! before the end of the body, e.g. an error, both directions of the transfer
//! stop.
asio::awaitable<void> target_dispatch::streamBody(const relayed_header &Header,
                                                  std::uint64_t MaxBodyBytes) {
  paced_message Message(Header);
  if (!Body.length())
    Message.chunked(true);
  paced_serializer Serializer(Message);
  Message.body().data = nullptr;
  Message.body().more = true;
  error_code Error;
  const response_watch Watch(Connection, HeaderAllowance, [this] {
    EarlyResponse = true;
    Body.interrupt();
    Connection.Stream.cancel();
  });
  co_await http::async_write_header(Connection.Stream, Serializer,
                                    redirect(Error));
  if (!Error && !EarlyResponse && !Body.prefix().empty())
    Error = co_await writePiece(Message, Serializer, Body.prefix());
  while (!Error && !EarlyResponse && !Serializer.is_done()) {
    const body_piece Piece = co_await Body.next();
    if (Piece.Read == body_read::Interrupted || EarlyResponse)
      break;
    if (Body.bytesRead() > MaxBodyBytes)
      fail(attempt_failure::ProtocolError,
           "the body exceeds the route's limit");
    Body.markRelayed();
    Error = co_await writePiece(Message, Serializer, Piece.Bytes);
  }
  if (Error == beast::error::timeout)
    fail(attempt_failure::TimedOut, "sending the body to the target timed out");
  recordSent(Error, !EarlyResponse && Serializer.is_done());
}

//! A write that was cancelled because of an early response has not failed.
void target_dispatch::recordSent(error_code Error, bool Complete) {
  RequestFullySent = !Error && Complete;
  SendFailed = Error && Error != asio::error::operation_aborted;
}

asio::awaitable<void>
target_dispatch::readResponseHeader(steady_time GiveUpAt) {
  Connection.Stream.expires_at(GiveUpAt);
  for (bool MatchesRequest = false; !MatchesRequest;) {
    for (bool Final = false; !Final;)
      Final = co_await readHeader();
    Metadata = Dialect.parseMetadata(Response->get(), RequestId);
    readNotice();
    MatchesRequest = !Metadata.OtherRequest;
    if (!MatchesRequest) {
      Connection.Reused = true;
      co_await discardResponse();
    }
  }
  checkResponse();
}

//! Reads one response header. Returns false if it is an informational (1xx) one
//! that must be skipped; 101 is returned as final.
asio::awaitable<bool> target_dispatch::readHeader() {
  Response.emplace();
  Response->body_limit(boost::none);
  Response->skip(ResponseHasNoBody);
  const error_code Error = co_await readLimited(
      Connection.Stream, Connection.Buffer, *Response, HeaderAllowance);
  if (Error)
    failRead(Error);
  co_return !isInformational(*Response) ||
      Response->get().result() == http::status::switching_protocols;
}

void target_dispatch::failRead(error_code Error) {
  if (Error == beast::error::timeout)
    fail(attempt_failure::TimedOut, "the target did not respond in time");
  if (isParseError(Error))
    fail(attempt_failure::ProtocolError, "the target's response is malformed");
  fail(attempt_failure::ConnectionLost,
       "the connection to the target was lost before its response");
}

//! Discards a late response to an earlier request; the response to this request
//! may follow.
asio::awaitable<void> target_dispatch::discardResponse() {
  if (Response->need_eof())
    fail(attempt_failure::ProtocolError,
         "the target's response belongs to another request");
  std::vector<char> Discarded(RelayChunkBytes);
  while (!Response->is_done()) {
    Response->get().body().data = Discarded.data();
    Response->get().body().size = Discarded.size();
    error_code Error;
    const std::size_t Count = co_await http::async_read_some(
        Connection.Stream, Connection.Buffer, *Response, redirect(Error));
    if (Error && Error != http::error::need_buffer)
      failRead(Error);
    if (Count > DiscardAllowance)
      fail(attempt_failure::ProtocolError,
           "the target's response to another request is too long");
    DiscardAllowance -= Count;
  }
}

void target_dispatch::readNotice() {
  Notice.Leaving |= Metadata.TargetLeaving;
  if (Metadata.WantsNothingFor.count() > 0)
    Notice.WantsNothingUntil =
        std::max(Notice.WantsNothingUntil,
                 std::chrono::steady_clock::now() + Metadata.WantsNothingFor);
}

void target_dispatch::checkResponse() {
  if (!hasValidStatus(*Response))
    rejectResponse("the status of the target's response is not a number from "
                   "100 to 599");
  if (Connection.Reused && !Metadata.NamesRequest)
    rejectResponse("the target's response names no request and may be an "
                   "earlier one");
  if (Metadata.NotRun) {
    Progress = attempt_progress::NothingSent;
    throw pomelo_error(error_kind::UpstreamFailed,
                       "the target refused the request without running it");
  }
  if (isInformational(*Response))
    fail(attempt_failure::ProtocolError,
         "the target switched protocols without being asked");
  if (!Metadata.Authentic)
    fail(attempt_failure::ProtocolError,
         "the target's response has no valid signature");
  // If only the end of the connection marks the end of the body, a lost
  // connection cannot be told from a complete response.
  if (!Response->is_done() && !Response->chunked() &&
      !Response->content_length() && !Dialect.allowsCloseDelimitedResponse())
    fail(attempt_failure::ProtocolError,
         "the target's response is neither chunked nor has a Content-Length");
  // The failed write has consumed the connection's error, so a reset would read
  // as an orderly end.
  if (SendFailed && Response->need_eof())
    fail(attempt_failure::ProtocolError,
         "the connection failed while the request was sent, so that the end of "
         "the target's response cannot be verified");
  Progress = attempt_progress::Answered;
}

bool target_dispatch::answeredServerError() const {
  return Response &&
         statusClassOf(*Response) == http::status_class::server_error;
}

bool target_dispatch::reusable() const {
  return RequestFullySent && Response->keep_alive() &&
         Connection.Buffer.size() == 0;
}

//! The metadata of a response that is not this request's must not decide
//! anything.
void target_dispatch::rejectResponse(const std::string &Reason) {
  Metadata = {};
  fail(attempt_failure::ProtocolError, Reason);
}

void target_dispatch::fail(attempt_failure Cause, const std::string &Reason) {
  FailureCause = Cause;
  throw pomelo_error(error_kind::OutcomeUnknown, Reason);
}

} // namespace pomelo
