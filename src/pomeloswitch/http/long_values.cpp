#include "pomeloswitch/http/long_values.hpp"

#include "pomeloswitch/wire/secret_hash.hpp"

#include <fmt/format.h>

#include <iterator>

namespace pomelo {
namespace {

constexpr char PlaceholderMark = '\x01';

} // namespace

std::string long_values::add(std::string_view Value) {
  std::string Placeholder = PlaceholderMark + sha256Hex(Value);
  Values.try_emplace(Placeholder, Value);
  return Placeholder;
}

std::string_view long_values::resolve(std::string_view Text) const {
  if (!Text.starts_with(PlaceholderMark))
    return Text;
  const auto Found = Values.find(Text);
  return Found == Values.end() ? Text : std::string_view(Found->second);
}

relayed_fields::writer::writer(const relayed_fields &Fields, unsigned Version,
                               boost::beast::http::verb Method) {
  const std::string_view MethodText =
      Method == boost::beast::http::verb::unknown
          ? std::string_view(Fields.get_method_impl())
          : std::string_view(boost::beast::http::to_string(Method));
  fmt::format_to(std::back_inserter(Text), "{} {} HTTP/{}.{}\r\n", MethodText,
                 std::string_view(Fields.get_target_impl()), Version / 10,
                 Version % 10);
  for (const auto &Field : Fields) {
    const std::string_view Value = Field.value();
    Text.append(Field.name_string()).append(": ");
    Text.append(Fields.LongValues ? Fields.LongValues->resolve(Value) : Value);
    Text.append("\r\n");
  }
  Text.append("\r\n");
}

} // namespace pomelo
