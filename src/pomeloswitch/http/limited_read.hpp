//! Reads a message, or its header, of limited size.
#ifndef POMELOSWITCH_HTTP_LIMITED_READ_HPP
#define POMELOSWITCH_HTTP_LIMITED_READ_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>

namespace pomelo {

//! Maximum size of unparsed input of a server, e.g. of a chunk's size line,
//! unless a header may be larger.
inline constexpr std::size_t MaxUnparsedBytes = 64 * 1024;

//! Reads until \p Parser has the whole message if it is eager, or else its
//! header. The number of bytes parsed is subtracted from \p Allowance; returns
//! http::error::buffer_overflow when it would become negative.
//!
//! The parser's own limit applies to what is not parsed yet, so it bounds
//! neither a header whose fields arrive one by one nor a sequence of messages.
//! Instantiated for requests and responses.
template <bool IsRequest>
boost::asio::awaitable<boost::system::error_code>
readLimited(boost::beast::tcp_stream &Stream, boost::beast::flat_buffer &Buffer,
            boost::beast::http::basic_parser<IsRequest> &Parser,
            std::size_t &Allowance);

} // namespace pomelo

#endif
