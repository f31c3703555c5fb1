//! The body of a caller's request, as it comes in.
#ifndef POMELOSWITCH_HTTP_CALLER_BODY_HPP
#define POMELOSWITCH_HTTP_CALLER_BODY_HPP

#include "pomeloswitch/http/stream_parsers.hpp"
#include "pomeloswitch/retry/request_fingerprint.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! The head of a body, up to FingerprintBodyBytes, is read before the request
//! goes to a target: a slow caller with a small body holds no target, the
//! request can be recognised, and it can be sent again where that is safe.
class caller_body {
public:
  caller_body(boost::beast::tcp_stream &Caller,
              boost::beast::flat_buffer &Buffer, request_stream_parser &Request)
      : Caller(Caller), Buffer(Buffer), Request(Request) {}

  //! \throws boost::system::system_error if the caller breaks off.
  boost::asio::awaitable<void> readHead();

  //! Whether the head is the whole body.
  [[nodiscard]] bool whole() const { return Relayed == 0 && Request.is_done(); }
  //! Whether some of the body beyond the head has been taken by next(), so
  //! that the request cannot be sent again.
  [[nodiscard]] bool consumed() const { return Relayed > 0; }
  [[nodiscard]] std::string_view head() const { return Head; }
  [[nodiscard]] std::optional<std::uint64_t> length() const;
  [[nodiscard]] std::uint64_t bytesRead() const {
    return Head.size() + Relayed;
  }

  //! The next piece beyond the head, valid until the next call; empty at the
  //! end or when cancel() was called. \throws boost::system::system_error.
  boost::asio::awaitable<std::span<const char>> next();

  //! Ends a next() that waits for the caller.
  void cancel();

private:
  boost::asio::awaitable<std::size_t> readInto(std::span<char> Space);

  boost::beast::tcp_stream &Caller;
  boost::beast::flat_buffer &Buffer;
  request_stream_parser &Request;
  std::string Head;
  std::vector<char> Chunk;
  std::uint64_t Relayed = 0;
  bool Cancelled = false;
};

} // namespace pomelo

#endif
