#include "pomeloswitch/settings/key_source.hpp"

#include "pomeloswitch/settings/common_settings.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace pomelo {

const std::string_view KeySourceSchema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["from"],
  "properties": {
    "from": {"enum": ["path_segment", "header", "query"]},
    "segment": {"type": "integer", "minimum": 0, "maximum": 32},
    "name": {"type": "string", "minLength": 1, "maxLength": 64}
  }
})json";

key_source readKeySource(const document_kind &Kind,
                         const boost::json::object &Object,
                         std::string_view Path) {
  key_source Source;
  const auto *Member = Object.if_contains("key");
  if (!Member)
    return Source;
  const auto &Key = Member->as_object();
  const std::string From = stringField(Key, "from");
  Source.Segment = static_cast<std::uint32_t>(integerField(Key, "segment", 0));
  Source.Name = stringField(Key, "name");
  if (From == "path_segment")
    Source.From = key_source::location::PathSegment;
  else
    Source.From = From == "header" ? key_source::location::Header
                                   : key_source::location::Query;
  if (Source.From != key_source::location::PathSegment && Source.Name.empty())
    refuseDocument(Kind, fmt::format("{}.key.name", Path),
                   "a key from a header or the query needs a name");
  return Source;
}

} // namespace pomelo
