//! Parsers for messages whose bodies are relayed in pieces.
#ifndef POMELOSWITCH_HTTP_STREAM_PARSERS_HPP
#define POMELOSWITCH_HTTP_STREAM_PARSERS_HPP

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstddef>

namespace pomelo {

//! Maximum size of a body piece.
inline constexpr std::size_t RelayChunkBytes = 64 * 1024;

//! Time without progress after which a transfer from or to a caller fails.
inline constexpr auto CallerProgressTimeout = std::chrono::seconds(30);

using request_stream_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using response_stream_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

} // namespace pomelo

#endif
