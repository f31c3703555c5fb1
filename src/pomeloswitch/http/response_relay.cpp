#include "pomeloswitch/http/response_relay.hpp"

#include "pomeloswitch/http/link_turn.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

//! Header fields that are stored in the copy and replayed to later callers.
constexpr std::array CopiedFields{http::field::content_type,
                                  http::field::content_encoding,
                                  http::field::location, http::field::etag};
constexpr std::size_t MaxCopiedFieldBytes = 1024;

auto redirect(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

} // namespace

response_relay::response_relay(boost::beast::tcp_stream &Caller,
                               upstream_connection &Connection,
                               response_stream_parser &Response,
                               const target_dialect &Dialect, link_pacer &Link,
                               steady_time Deadline)
    : Caller(Caller), Connection(Connection), Response(Response),
      Dialect(Dialect), Link(Link), Deadline(Deadline) {
  Connection.Stream.expires_at(Deadline);
}

void response_relay::enableCopy() {
  Copy.emplace();
  Copy->Status = Response.get().result_int();
  Copy->BodyKept = true;
  for (const http::field Name : CopiedFields) {
    const auto Value = Response.get()[Name];
    if (!Value.empty() && Value.size() <= MaxCopiedFieldBytes)
      Copy->Fields.emplace_back(http::to_string(Name), Value);
  }
}

asio::awaitable<void> response_relay::run(bool KeepAlive) {
  message Message(Dialect.headerForCaller(Response.get()));
  const bool HasBody = !Response.is_done();
  if (HasBody && !Response.content_length())
    Message.chunked(true);
  Message.keep_alive(KeepAlive);
  Message.body().data = nullptr;
  Message.body().more = HasBody;
  serializer Serializer(Message);
  Caller.expires_at(writeDeadline());
  co_await writeHeader(Serializer);
  while (!Response.is_done()) {
    const std::span<char> Piece = co_await readPiece();
    copyPiece(Piece);
    co_await writePiece(Message, Serializer, Piece);
  }
  if (HasBody && !Serializer.is_done())
    co_await writePiece(Message, Serializer, {});
}

asio::awaitable<void> response_relay::writeHeader(serializer &Serializer) {
  error_code Error;
  co_await http::async_write_header(Caller, Serializer, redirect(Error));
  checkCaller(Error);
}

//! Until the response has been read, a caller that reads slowly must not occupy
//! the target for longer than the deadline.
steady_time response_relay::writeDeadline() const {
  const auto Latest = std::chrono::steady_clock::now() + CallerProgressTimeout;
  return Response.is_done() ? Latest : std::min(Latest, Deadline);
}

asio::awaitable<std::span<char>> response_relay::readPiece() {
  // The stream's own timeout does not end a read that finds input waiting.
  if (std::chrono::steady_clock::now() >= Deadline)
    throw boost::system::system_error(boost::beast::error::timeout);
  Chunk.resize(std::min(RelayChunkBytes, Link.pieceBytes()));
  Response.get().body().data = Chunk.data();
  Response.get().body().size = Chunk.size();
  error_code Error;
  co_await http::async_read_some(Connection.Stream, Connection.Buffer, Response,
                                 redirect(Error));
  const bool EndsResponse =
      Response.is_done() && Error == http::error::end_of_stream;
  if (Error && Error != http::error::need_buffer && !EndsResponse)
    throw boost::system::system_error(Error);
  co_return std::span(Chunk).first(Chunk.size() - Response.get().body().size);
}

asio::awaitable<void> response_relay::awaitRelayTurn(std::size_t Bytes) {
  const bool InTime = co_await awaitLink(Link, Bytes, writeDeadline());
  if (!InTime)
    throw boost::system::system_error(boost::beast::error::timeout);
}

asio::awaitable<void> response_relay::writePiece(message &Message,
                                                 serializer &Serializer,
                                                 std::span<char> Piece) {
  const bool Last = Response.is_done();
  if (CallerDisconnected || (Piece.empty() && !Last))
    co_return;
  RelayedBytes += Piece.size();
  if (RelayedBytes > Link.pieceBytes())
    co_await awaitRelayTurn(Piece.size());
  Message.body().data = Piece.empty() ? nullptr : Piece.data();
  Message.body().size = Piece.size();
  Message.body().more = !Last;
  Caller.expires_at(writeDeadline());
  error_code Error;
  co_await http::async_write(Caller, Serializer, redirect(Error));
  if (Error != http::error::need_buffer)
    checkCaller(Error);
}

void response_relay::checkCaller(error_code Error) {
  if (!Error)
    return;
  if (!Copy)
    throw boost::system::system_error(Error);
  CallerDisconnected = true;
}

void response_relay::copyPiece(std::span<const char> Piece) {
  if (!Copy || !Copy->BodyKept)
    return;
  Copy->Body.append(Piece.begin(), Piece.end());
  Copy->BodyKept = Copy->Body.size() <= MaxKeptBodyBytes;
  if (!Copy->BodyKept)
    Copy->Body.clear();
}

} // namespace pomelo
