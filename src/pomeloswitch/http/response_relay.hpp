//! Relays a target's response to the caller.
#ifndef POMELOSWITCH_HTTP_RESPONSE_RELAY_HPP
#define POMELOSWITCH_HTTP_RESPONSE_RELAY_HPP

#include "pomeloswitch/http/stream_parsers.hpp"
#include "pomeloswitch/http/target_dialect.hpp"
#include "pomeloswitch/http/upstream_pool.hpp"
#include "pomeloswitch/sending/link_pacer.hpp"
#include "pomeloswitch/state/claim_table.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <optional>
#include <span>

namespace pomelo {

//! Streams the body of one response from a target connection to the caller and
//! optionally records a copy of it.
class response_relay {
public:
  response_relay(boost::beast::tcp_stream &Caller,
                 upstream_connection &Connection,
                 response_stream_parser &Response,
                 const target_dialect &Dialect, link_pacer &Link,
                 steady_time Deadline);

  //! Records a copy of the response for later requests with the same
  //! Idempotency-Key. The response is then read to its end even if the caller
  //! disconnects.
  void enableCopy();

  //! Relays until the end of the response, which must have been read by the
  //! deadline. \p KeepAlive sets the keep-alive
  //! header that is sent to the caller.
  //! \throws boost::system::system_error if the target's connection fails, or
  //! the caller's does and no copy is recorded. The caller's connection must
  //! then be closed, so that a partial response is not mistaken for a complete
  //! one.
  boost::asio::awaitable<void> run(bool KeepAlive);

  //! Returns the recorded copy; valid once run() has returned.
  std::optional<kept_answer> takeCopy() { return std::move(Copy); }
  //! Whether the caller disconnected while the copy was being recorded.
  [[nodiscard]] bool callerDisconnected() const { return CallerDisconnected; }

private:
  using message = boost::beast::http::response<boost::beast::http::buffer_body>;
  using serializer =
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

  boost::asio::awaitable<std::span<char>> readPiece();
  boost::asio::awaitable<void> awaitRelayTurn(std::size_t Bytes);
  boost::asio::awaitable<void>
  writePiece(message &Message, serializer &Serializer, std::span<char> Piece);
  boost::asio::awaitable<void> writeHeader(serializer &Serializer);
  [[nodiscard]] steady_time writeDeadline() const;
  void checkCaller(boost::system::error_code Error);
  void copyPiece(std::span<const char> Piece);

  boost::beast::tcp_stream &Caller;
  upstream_connection &Connection;
  response_stream_parser &Response;
  const target_dialect &Dialect;
  link_pacer &Link;
  std::size_t RelayedBytes = 0; //!< Of the body.
  steady_time Deadline;
  std::vector<char> Chunk;
  std::optional<kept_answer> Copy;
  bool CallerDisconnected = false;
};

} // namespace pomelo

#endif
