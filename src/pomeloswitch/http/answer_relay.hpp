//! Passing a target's answer on to the caller.
#ifndef POMELOSWITCH_HTTP_ANSWER_RELAY_HPP
#define POMELOSWITCH_HTTP_ANSWER_RELAY_HPP

#include "pomeloswitch/http/stream_parsers.hpp"
#include "pomeloswitch/http/target_dialect.hpp"
#include "pomeloswitch/http/upstream_pool.hpp"
#include "pomeloswitch/state/claim_table.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <optional>
#include <span>

namespace pomelo {

class answer_relay {
public:
  answer_relay(boost::beast::tcp_stream &Caller,
               upstream_connection &Connection, response_stream_parser &Answer,
               const target_dialect &Dialect);

  //! Keeps a copy for later callers. The answer is then read to its end even
  //! if this caller goes away.
  void keepCopy();

  //! Relays until the answer's end; \p KeepAlive is what the caller is told
  //! about its connection.
  //! \throws boost::system::system_error if the answer breaks off, or the
  //!         caller does and no copy is kept. The caller's connection must
  //!         then be closed, so that the part is not taken for the whole.
  boost::asio::awaitable<void> run(bool KeepAlive);

  //! The copy, once run() has returned.
  std::optional<kept_answer> takeCopy() { return std::move(Copy); }
  //! Whether the caller went away while the copy was completed.
  [[nodiscard]] bool callerLost() const { return CallerLost; }

private:
  using message = boost::beast::http::response<boost::beast::http::buffer_body>;
  using serializer =
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

  boost::asio::awaitable<std::span<char>> readPiece();
  boost::asio::awaitable<void>
  writePiece(message &Message, serializer &Serializer, std::span<char> Piece);
  boost::asio::awaitable<void> writeHeader(serializer &Serializer);
  void checkCaller(boost::system::error_code Error);
  void copyPiece(std::span<const char> Piece);

  boost::beast::tcp_stream &Caller;
  upstream_connection &Connection;
  response_stream_parser &Answer;
  const target_dialect &Dialect;
  std::vector<char> Chunk;
  std::optional<kept_answer> Copy;
  bool CallerLost = false;
};

} // namespace pomelo

#endif
