#include "pomeloswitch/http/limited_read.hpp"

#include "pomeloswitch/http/stream_parsers.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

template <bool IsRequest>
bool isComplete(const http::basic_parser<IsRequest> &Parser) {
  return Parser.eager() ? Parser.is_done() : Parser.is_header_done();
}

template <bool IsRequest>
error_code parse(beast::flat_buffer &Buffer,
                 http::basic_parser<IsRequest> &Parser,
                 std::size_t &Allowance) {
  if (Buffer.size() == 0)
    return http::error::need_more;
  error_code Error;
  const std::size_t Count = Parser.put(Buffer.data(), Error);
  Buffer.consume(Count);
  if (Count > Allowance)
    return http::error::buffer_overflow;
  Allowance -= Count;
  return Error;
}

asio::awaitable<error_code> fill(beast::tcp_stream &Stream,
                                 beast::flat_buffer &Buffer) {
  const std::size_t Size = beast::read_size(Buffer, RelayChunkBytes);
  if (Size == 0)
    co_return http::error::buffer_overflow;
  error_code Error;
  const std::size_t Count = co_await Stream.async_read_some(
      Buffer.prepare(Size), asio::redirect_error(asio::use_awaitable, Error));
  Buffer.commit(Count);
  co_return Error;
}

} // namespace

template <bool IsRequest>
asio::awaitable<error_code>
readLimited(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
            http::basic_parser<IsRequest> &Parser, std::size_t &Allowance) {
  while (!isComplete(Parser)) {
    error_code Error = parse(Buffer, Parser, Allowance);
    if (Error == http::error::need_more)
      Error = co_await fill(Stream, Buffer);
    if (Error == asio::error::eof && Parser.got_some())
      Parser.put_eof(Error);
    if (Error)
      co_return Error;
  }
  co_return error_code();
}

template asio::awaitable<error_code> readLimited(beast::tcp_stream &,
                                                 beast::flat_buffer &,
                                                 http::basic_parser<true> &,
                                                 std::size_t &);
template asio::awaitable<error_code> readLimited(beast::tcp_stream &,
                                                 beast::flat_buffer &,
                                                 http::basic_parser<false> &,
                                                 std::size_t &);

} // namespace pomelo
