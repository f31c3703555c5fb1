//! The parsers of messages whose bodies are relayed in pieces.
#ifndef POMELOSWITCH_HTTP_STREAM_PARSERS_HPP
#define POMELOSWITCH_HTTP_STREAM_PARSERS_HPP

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstddef>

namespace pomelo {

//! Bytes of a body that are relayed at a time.
inline constexpr std::size_t RelayChunkBytes = 64 * 1024;

//! How long a caller may leave a transfer without any progress.
inline constexpr auto CallerProgressTimeout = std::chrono::seconds(30);

using request_stream_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using response_stream_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

} // namespace pomelo

#endif
