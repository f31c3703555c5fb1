#include "pomeloswitch/http/caller_body.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace pomelo {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

//! Maximum number of bytes that frame a body in chunks (sizes, extensions and
//! trailer), beyond FramingRatio for each byte of it.
constexpr std::uint64_t MaxFramingBytes = 64 * 1024;
//! A chunk of one byte takes five bytes of framing.
constexpr std::uint64_t FramingRatio = 8;

} // namespace

std::optional<std::uint64_t> caller_body::length() const {
  if (fullyBuffered())
    return Prefix.size();
  const auto DeclaredLength = Request.content_length();
  return DeclaredLength ? std::optional<std::uint64_t>(*DeclaredLength)
                        : std::nullopt;
}

asio::awaitable<void> caller_body::readPrefix() {
  if (Request.is_done())
    co_return;
  const std::uint64_t Expected =
      Request.content_length().value_or(FingerprintBodyBytes);
  Prefix.resize(std::min<std::uint64_t>(Expected, FingerprintBodyBytes));
  std::size_t Filled = 0;
  while (!Request.is_done() && Filled < Prefix.size() && !Interrupted)
    Filled += co_await readInto(std::span(Prefix).subspan(Filled));
  Prefix.resize(Filled);
}

asio::awaitable<body_piece> caller_body::next() {
  Interrupted = false;
  if (Unrelayed == 0 && !Request.is_done()) {
    Chunk.resize(RelayChunkBytes);
    Unrelayed = co_await readInto(Chunk);
  }
  if (Interrupted && !Request.is_done())
    co_return body_piece{body_read::Interrupted, {}};
  if (Unrelayed == 0)
    co_return body_piece{body_read::End, {}};
  co_return body_piece{body_read::Data, std::span(Chunk).first(Unrelayed)};
}

void caller_body::markRelayed() { Relayed += std::exchange(Unrelayed, 0); }

asio::awaitable<std::size_t> caller_body::readInto(std::span<char> Space) {
  auto &Body = Request.get().body();
  Body.data = Space.data();
  Body.size = Space.size();
  Caller.expires_after(CallerProgressTimeout);
  boost::system::error_code Error;
  while (!Error && !Request.is_done() && Body.size > 0 && !Interrupted) {
    const std::size_t Before = Body.size;
    const std::size_t Count = co_await http::async_read_some(
        Caller, Buffer, Request,
        asio::redirect_error(asio::use_awaitable, Error));
    countFraming(Count, Before - Body.size);
  }
  const bool Ended = !Error || Error == http::error::need_buffer;
  const bool WasInterrupted =
      Interrupted && Error == asio::error::operation_aborted;
  if (!Ended && !WasInterrupted)
    throw boost::system::system_error(Error);
  co_return Space.size() - Body.size;
}

//! A size line or a trailer without end must not be kept or read for ever.
void caller_body::countFraming(std::size_t Parsed, std::size_t Content) {
  ContentBytes += Content;
  FramingBytes += Parsed - Content;
  if (FramingBytes > MaxFramingBytes + FramingRatio * ContentBytes)
    throw boost::system::system_error(
        make_error_code(http::error::buffer_overflow));
}

void caller_body::interrupt() {
  Interrupted = true;
  Caller.cancel();
}

} // namespace pomelo
