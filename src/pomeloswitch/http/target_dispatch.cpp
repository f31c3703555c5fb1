#include "pomeloswitch/http/target_dispatch.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/http/readable_watch.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

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

bool interim(const response_stream_parser &Answer) {
  return http::to_status_class(Answer.get().result()) ==
         http::status_class::informational;
}

bool malformed(error_code Error) {
  const bool OfParser =
      Error.category() == make_error_code(http::error::bad_version).category();
  return OfParser && Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

} // namespace

asio::awaitable<void> target_dispatch::send(const request_header &Header,
                                            std::uint64_t MaxBodyBytes,
                                            steady_time Deadline) {
  AnswersNoBody = Header.method() == http::verb::head;
  Connection.Stream.expires_at(Deadline);
  Progress = attempt_progress::Sent;
  if (Body.whole())
    co_await sendWhole(Header);
  else
    co_await streamBody(Header, MaxBodyBytes);
}

asio::awaitable<void> target_dispatch::sendWhole(const request_header &Header) {
  using span_body = http::span_body<const char>;
  http::request<span_body> Message(Header);
  const std::string_view Content = Body.head();
  Message.body() = {Content.data(), Content.size()};
  if (!Content.empty() || Header.count(http::field::content_length))
    Message.content_length(Content.size());
  error_code Error;
  co_await http::async_write(Connection.Stream, Message, redirect(Error));
  if (Error == beast::error::timeout)
    fail(attempt_break::Silent, "the target did not take the request in time");
  // A target may answer and close before it has read everything; its answer is
  // then still to be read.
  SentWhole = !Error;
}

//! Sends the body as it comes in. A target that answers before the end, a
//! refusal for instance, ends the transfer in both directions.
asio::awaitable<void> target_dispatch::streamBody(const request_header &Header,
                                                  std::uint64_t MaxBodyBytes) {
  http::request<http::buffer_body> Message(Header);
  if (!Body.length())
    Message.chunked(true);
  http::request_serializer<http::buffer_body> Serializer(Message);
  Message.body().data = nullptr;
  Message.body().more = true;
  error_code Error;
  bool EarlyAnswer = false;
  const readable_watch Watch(Connection.Stream.socket(),
                             [this, &EarlyAnswer](input_state) {
                               EarlyAnswer = true;
                               Body.cancel();
                               Connection.Stream.cancel();
                             });
  co_await http::async_write_header(Connection.Stream, Serializer,
                                    redirect(Error));
  const std::string_view Head = Body.head();
  std::span<const char> Piece(Head.data(), Head.size());
  while (!Error && !EarlyAnswer && !Serializer.is_done()) {
    if (Piece.empty())
      Piece = co_await Body.next();
    if (EarlyAnswer)
      break;
    if (Body.bytesRead() > MaxBodyBytes)
      fail(attempt_break::Misbehaved, "the body grew above the route's limit");
    Message.body().data = const_cast<char *>(Piece.data());
    Message.body().size = Piece.size();
    Message.body().more = !Piece.empty();
    co_await http::async_write(Connection.Stream, Serializer, redirect(Error));
    if (Error == http::error::need_buffer)
      Error = {};
    Piece = {};
  }
  if (Error == beast::error::timeout)
    fail(attempt_break::Silent, "the target did not take the body in time");
  SentWhole = !Error && !EarlyAnswer;
}

asio::awaitable<void> target_dispatch::readAnswer(steady_time GiveUpAt) {
  Connection.Stream.expires_at(GiveUpAt);
  for (bool Own = false; !Own;) {
    for (bool Final = false; !Final;)
      Final = co_await readHeader();
    Facts = Dialect.factsOf(Answer->get(), RequestId);
    Own = !Facts.OtherRequest;
    if (!Own)
      co_await skipAnswer();
  }
  checkAnswer();
}

//! Reads one header and tells whether it is a final one.
asio::awaitable<bool> target_dispatch::readHeader() {
  Answer.emplace();
  Answer->body_limit(boost::none);
  Answer->skip(AnswersNoBody);
  error_code Error;
  co_await http::async_read_header(Connection.Stream, Connection.Buffer,
                                   *Answer, redirect(Error));
  if (Error == beast::error::timeout)
    fail(attempt_break::Silent, "the target did not answer in time");
  if (malformed(Error))
    fail(attempt_break::Misbehaved, "the target's answer is malformed");
  if (Error)
    fail(attempt_break::ConnectionLost,
         "the target ended the connection without an answer");
  co_return !interim(*Answer) ||
      Answer->get().result() == http::status::switching_protocols;
}

//! An answer to an earlier request came late; the own one may follow.
asio::awaitable<void> target_dispatch::skipAnswer() {
  if (Answer->need_eof())
    fail(attempt_break::Misbehaved,
         "the target's answer belongs to another request");
  std::vector<char> Discarded(RelayChunkBytes);
  while (!Answer->is_done()) {
    Answer->get().body().data = Discarded.data();
    Answer->get().body().size = Discarded.size();
    error_code Error;
    co_await http::async_read_some(Connection.Stream, Connection.Buffer,
                                   *Answer, redirect(Error));
    if (Error && Error != http::error::need_buffer)
      fail(Error == beast::error::timeout ? attempt_break::Silent
                                          : attempt_break::ConnectionLost,
           "the target broke off an answer to another request");
  }
}

void target_dispatch::checkAnswer() {
  if (Facts.NotRun) {
    Progress = attempt_progress::NothingSent;
    throw pomelo_error(error_kind::UpstreamFailed,
                       "the target refused the request without running it");
  }
  if (interim(*Answer))
    fail(attempt_break::Misbehaved, "the target changed the protocol unasked");
  if (!Facts.Genuine)
    fail(attempt_break::Misbehaved,
         "the target's answer lacks the mark of a genuine one");
  // Where the end of the connection is the only sign of the end, a broken
  // connection may look the same.
  if (!Answer->is_done() && !Answer->chunked() && !Answer->content_length() &&
      !Dialect.endOfConnectionEndsAnswer())
    fail(attempt_break::Misbehaved,
         "the target's answer has no length by which it could be told whole");
  Progress = attempt_progress::Answered;
}

bool target_dispatch::answeredFailure() const {
  return Answer && http::to_status_class(Answer->get().result()) ==
                       http::status_class::server_error;
}

bool target_dispatch::reusable() const {
  return SentWhole && Answer->keep_alive() && Connection.Buffer.size() == 0;
}

void target_dispatch::fail(attempt_break How, const std::string &Reason) {
  Ending = How;
  throw pomelo_error(error_kind::OutcomeUnknown, Reason);
}

} // namespace pomelo
