#include "pomeloswitch/http/stream_parsers.hpp"

namespace pomelo {

void request_stream_parser::on_field_impl(boost::beast::http::field Name,
                                          boost::beast::string_view NameText,
                                          boost::beast::string_view Value,
                                          boost::beast::error_code &Error) {
  if (NameText.size() > MaxFieldBytes) {
    Error = boost::beast::http::error::header_limit;
    return;
  }
  if (Value.size() <= MaxFieldBytes)
    get().insert(Name, NameText, Value);
  else
    get().insert(Name, NameText, LongValues.add(Value));
}

} // namespace pomelo
