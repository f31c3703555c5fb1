#include "pomeloswitch/control/request_fields.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace pomelo {

namespace json = boost::json;

json::object parseBody(const text_request &Request) {
  json::error_code Error;
  json::value Body = json::parse(Request.body(), Error);
  if (Error || !Body.is_object())
    throw pomelo_error(error_kind::BadRequest, "the body is not a JSON object");
  return std::move(Body.as_object());
}

std::string requiredText(const json::object &Body, std::string_view Name) {
  const auto *Value = Body.if_contains(Name);
  if (!Value || !Value->is_string() || Value->as_string().empty())
    throw pomelo_error(error_kind::BadRequest,
                       fmt::format("{}: a non-empty text is needed", Name));
  return std::string(Value->as_string());
}

} // namespace pomelo
