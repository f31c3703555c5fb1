//! Incremental reading of a caller's request body.
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

//! How a read of the next piece of a body ended.
enum class body_read {
  Data,
  End,         //!< The body is complete.
  Interrupted, //!< interrupt() ended the read; the body goes on.
};

struct body_piece {
  body_read Read = body_read::End;
  std::span<const char> Bytes; //!< Empty unless Data.
};

//! Reads a request body in two steps: a buffered prefix of up to
//! FingerprintBodyBytes bytes, and the rest in pieces. The prefix is read
//! before the request is sent to a target, so that a slow caller with a small
//! body occupies no target connection, the request can be fingerprinted, and it
//! can be retried where that is safe.
class caller_body {
public:
  caller_body(boost::beast::tcp_stream &Caller,
              boost::beast::flat_buffer &Buffer, request_stream_parser &Request)
      : Caller(Caller), Buffer(Buffer), Request(Request) {}

  //! \throws boost::system::system_error if reading from the caller fails.
  boost::asio::awaitable<void> readPrefix();

  //! Whether the prefix is the complete body.
  [[nodiscard]] bool fullyBuffered() const {
    return Relayed == 0 && Unrelayed == 0 && Request.is_done();
  }
  //! Whether data beyond the prefix went to a target. That data is not
  //! buffered, so the request cannot be retried.
  [[nodiscard]] bool partlyRelayed() const { return Relayed > 0; }
  [[nodiscard]] std::string_view prefix() const { return Prefix; }
  //! Length of the body in bytes; empty if there is no Content-Length and the
  //! body is not fully buffered.
  [[nodiscard]] std::optional<std::uint64_t> length() const;
  [[nodiscard]] std::uint64_t bytesRead() const {
    return Prefix.size() + Relayed + Unrelayed;
  }

  //! Returns the next piece after the prefix, the same one until markRelayed()
  //! is called. It is valid until the call after that. \throws
  //! boost::system::system_error if reading from the caller fails.
  boost::asio::awaitable<body_piece> next();

  //! Records that the piece that next() has returned goes to a target.
  void markRelayed();

  //! Ends a pending next(). What it has read is kept for the next call.
  void interrupt();

private:
  boost::asio::awaitable<std::size_t> readInto(std::span<char> Space);
  void countFraming(std::size_t Parsed, std::size_t Content);

  boost::beast::tcp_stream &Caller;
  boost::beast::flat_buffer &Buffer;
  request_stream_parser &Request;
  std::string Prefix;
  std::vector<char> Chunk;
  std::uint64_t ContentBytes = 0; //!< Of the body, read so far.
  std::uint64_t FramingBytes = 0; //!< Beside them, in a body in chunks.
  std::uint64_t Relayed = 0;
  std::size_t Unrelayed = 0; //!< Bytes of Chunk that went to no target.
  bool Interrupted = false;  //!< Whether the pending next() is to end.
};

} // namespace pomelo

#endif
