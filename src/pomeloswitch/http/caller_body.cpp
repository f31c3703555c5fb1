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
  while (!Request.is_done() && Filled < Prefix.size())
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
  co_await http::async_read(Caller, Buffer, Request,
                            asio::redirect_error(asio::use_awaitable, Error));
  const bool Ended = !Error || Error == http::error::need_buffer;
  const bool WasInterrupted =
      Interrupted && Error == asio::error::operation_aborted;
  if (!Ended && !WasInterrupted)
    throw boost::system::system_error(Error);
  co_return Space.size() - Body.size;
}

void caller_body::interrupt() {
  Interrupted = true;
  Caller.cancel();
}

} // namespace pomelo
