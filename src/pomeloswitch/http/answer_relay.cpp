#include "pomeloswitch/http/answer_relay.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

//! Fields that later callers of the same request are given again.
constexpr std::array KeptFields{http::field::content_type,
                                http::field::content_encoding,
                                http::field::location, http::field::etag};
constexpr std::size_t MaxKeptFieldBytes = 1024;

auto redirect(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

} // namespace

answer_relay::answer_relay(boost::beast::tcp_stream &Caller,
                           upstream_connection &Connection,
                           response_stream_parser &Answer,
                           const target_dialect &Dialect)
    : Caller(Caller), Connection(Connection), Answer(Answer), Dialect(Dialect) {
}

void answer_relay::keepCopy() {
  Copy.emplace();
  Copy->Status = Answer.get().result_int();
  Copy->BodyKept = true;
  for (const http::field Name : KeptFields) {
    const auto Value = Answer.get()[Name];
    if (!Value.empty() && Value.size() <= MaxKeptFieldBytes)
      Copy->Fields.emplace_back(http::to_string(Name), Value);
  }
}

asio::awaitable<void> answer_relay::run(bool KeepAlive) {
  message Message(Dialect.headerForCaller(Answer.get()));
  const bool HasBody = !Answer.is_done();
  if (HasBody && !Answer.content_length())
    Message.chunked(true);
  Message.keep_alive(KeepAlive);
  Message.body().data = nullptr;
  Message.body().more = HasBody;
  serializer Serializer(Message);
  Caller.expires_after(CallerProgressTimeout);
  co_await writeHeader(Serializer);
  while (!Answer.is_done()) {
    const std::span<char> Piece = co_await readPiece();
    copyPiece(Piece);
    co_await writePiece(Message, Serializer, Piece);
  }
  if (HasBody && !Serializer.is_done())
    co_await writePiece(Message, Serializer, {});
}

asio::awaitable<void> answer_relay::writeHeader(serializer &Serializer) {
  error_code Error;
  co_await http::async_write_header(Caller, Serializer, redirect(Error));
  checkCaller(Error);
}

asio::awaitable<std::span<char>> answer_relay::readPiece() {
  Chunk.resize(RelayChunkBytes);
  Answer.get().body().data = Chunk.data();
  Answer.get().body().size = Chunk.size();
  error_code Error;
  co_await http::async_read_some(Connection.Stream, Connection.Buffer, Answer,
                                 redirect(Error));
  const bool EndsAnswer =
      Answer.is_done() && Error == http::error::end_of_stream;
  if (Error && Error != http::error::need_buffer && !EndsAnswer)
    throw boost::system::system_error(Error);
  co_return std::span(Chunk).first(Chunk.size() - Answer.get().body().size);
}

asio::awaitable<void> answer_relay::writePiece(message &Message,
                                               serializer &Serializer,
                                               std::span<char> Piece) {
  const bool Last = Answer.is_done();
  if (CallerLost || (Piece.empty() && !Last))
    co_return;
  Message.body().data = Piece.empty() ? nullptr : Piece.data();
  Message.body().size = Piece.size();
  Message.body().more = !Last;
  Caller.expires_after(CallerProgressTimeout);
  error_code Error;
  co_await http::async_write(Caller, Serializer, redirect(Error));
  if (Error != http::error::need_buffer)
    checkCaller(Error);
}

void answer_relay::checkCaller(error_code Error) {
  if (!Error)
    return;
  if (!Copy)
    throw boost::system::system_error(Error);
  CallerLost = true;
}

void answer_relay::copyPiece(std::span<const char> Piece) {
  if (!Copy || !Copy->BodyKept)
    return;
  Copy->Body.append(Piece.begin(), Piece.end());
  Copy->BodyKept = Copy->Body.size() <= MaxKeptBodyBytes;
  if (!Copy->BodyKept)
    Copy->Body.clear();
}

} // namespace pomelo
