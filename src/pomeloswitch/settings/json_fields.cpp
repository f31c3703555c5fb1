#include "pomeloswitch/settings/json_fields.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cmath>

namespace pomelo {
namespace {

namespace json = boost::json;

//! Far above any duration in use; keeps the conversion to integer milliseconds
//! from overflowing.
constexpr double MaxSeconds = 1e9;

[[noreturn]] void refuse(std::string_view Name, std::string_view Reason) {
  throw pomelo_error(error_kind::BadRequest,
                     fmt::format("{}: {}", Name, Reason));
}

const json::value &memberOf(const json::object &From, std::string_view Name) {
  const json::value *Member = From.if_contains(Name);
  if (!Member)
    refuse(Name, "is missing");
  return *Member;
}

} // namespace

json::object parseObject(std::string_view Text) {
  boost::system::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  if (Error)
    throw pomelo_error(
        error_kind::BadRequest,
        fmt::format("the body is not JSON: {}", Error.message()));
  if (!Parsed.is_object())
    throw pomelo_error(error_kind::BadRequest, "the body is not a JSON object");
  return std::move(Parsed.as_object());
}

const json::object &objectIn(const json::object &From, std::string_view Name) {
  const json::value &Member = memberOf(From, Name);
  if (!Member.is_object())
    refuse(Name, "is not an object");
  return Member.as_object();
}

std::string stringIn(const json::object &From, std::string_view Name) {
  const json::value &Member = memberOf(From, Name);
  if (!Member.is_string())
    refuse(Name, "is not a string");
  return std::string(Member.as_string());
}

std::string nonEmptyStringIn(const json::object &From, std::string_view Name) {
  std::string Text = stringIn(From, Name);
  if (Text.empty())
    refuse(Name, "is empty");
  return Text;
}

double doubleIn(const json::object &From, std::string_view Name) {
  const json::value &Member = memberOf(From, Name);
  if (!Member.is_number())
    refuse(Name, "is not a number");
  return Member.to_number<double>();
}

std::uint64_t unsignedIn(const json::object &From, std::string_view Name) {
  const json::value &Member = memberOf(From, Name);
  boost::system::error_code Error;
  const auto Number = Member.to_number<std::uint64_t>(Error);
  if (Error)
    refuse(Name, "is not a non-negative integer");
  return Number;
}

std::chrono::milliseconds durationIn(const json::object &From,
                                     std::string_view Name) {
  const double Seconds = doubleIn(From, Name);
  if (!(Seconds >= 0 && Seconds <= MaxSeconds))
    refuse(Name, "is not a valid duration in seconds");
  return std::chrono::milliseconds(std::llround(Seconds * 1000));
}

} // namespace pomelo
