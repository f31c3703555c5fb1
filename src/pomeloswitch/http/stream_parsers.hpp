//! Parsers for messages whose bodies are relayed in pieces.
#ifndef POMELOSWITCH_HTTP_STREAM_PARSERS_HPP
#define POMELOSWITCH_HTTP_STREAM_PARSERS_HPP

#include "pomeloswitch/http/long_values.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstddef>

namespace pomelo {

//! Maximum size of a body piece.
inline constexpr std::size_t RelayChunkBytes = 64 * 1024;

//! Time without progress after which a transfer from or to a caller fails.
inline constexpr auto CallerProgressTimeout = std::chrono::seconds(30);

//! Takes header fields of any length. Those that the container of fields cannot
//! hold are replaced by placeholders in it.
class request_stream_parser : public boost::beast::http::request_parser<
                                  boost::beast::http::buffer_body> {
public:
  [[nodiscard]] const long_values &longValues() const { return LongValues; }

private:
  // Fails with header_limit if the name is too long.
  void on_field_impl(boost::beast::http::field Name,
                     boost::beast::string_view NameText,
                     boost::beast::string_view Value,
                     boost::beast::error_code &Error) override;

  long_values LongValues;
};
using response_stream_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

} // namespace pomelo

#endif
