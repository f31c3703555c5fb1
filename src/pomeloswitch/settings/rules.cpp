#include "pomeloswitch/settings/rules.hpp"

#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch/settings/inventory.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <set>

namespace pomelo {
namespace {

const std::string &schema() {
  static const std::string Schema = fmt::format(R"json({{
  "definitions": {{ {} }},
  "type": "object", "additionalProperties": false,
  "required": ["routes"],
  "properties": {{
    "open_isolation_ms": {{"type": "integer", "minimum": 0,
                           "maximum": 3600000}},
    "routes": {{
      "type": "array", "minItems": 1,
      "items": {{
        "type": "object", "additionalProperties": false,
        "required": ["name", "path_prefix", "service"],
        "properties": {{
          "name": {{"$ref": "#/definitions/name"}},
          "path_prefix": {{"type": "string", "pattern": "^/"}},
          "methods": {{
            "type": "array", "minItems": 1,
            "items": {{"enum": ["GET", "HEAD", "POST", "PUT", "DELETE",
                                "PATCH"]}}
          }},
          "service": {{"$ref": "#/definitions/name"}},
          "access": {{"enum": ["account", "open"]}},
          "key": {{
            "type": "object", "additionalProperties": false,
            "required": ["from"],
            "properties": {{
              "from": {{"enum": ["path_segment", "header", "query"]}},
              "segment": {{"type": "integer", "minimum": 0, "maximum": 32}},
              "name": {{"type": "string", "minLength": 1, "maxLength": 64}}
            }}
          }},
          "idempotent": {{"type": "boolean"}},
          "deadline_ms": {{"type": "integer", "minimum": 1,
                           "maximum": 3600000}},
          "max_body_bytes": {{"type": "integer", "minimum": 0}}
        }}
      }}
    }}
  }}
}})json",
                                                CommonDefinitions);
  return Schema;
}

const document_kind &kind() {
  static const document_kind Kind{"rules", schema(), error_kind::InvalidChange};
  return Kind;
}

key_source readKeySource(const boost::json::object &Object,
                         std::string_view RouteName) {
  key_source Source;
  const std::string From = textField(Object, "from");
  Source.Segment =
      static_cast<std::uint32_t>(numberField(Object, "segment", 0));
  Source.Name = textField(Object, "name");
  if (From == "path_segment")
    Source.From = key_source::place::PathSegment;
  else
    Source.From =
        From == "header" ? key_source::place::Header : key_source::place::Query;
  if (Source.From != key_source::place::PathSegment && Source.Name.empty())
    refuseDocument(kind(), fmt::format("routes.{}.key.name", RouteName),
                   "a key from a header or the query needs a name");
  return Source;
}

route readRoute(const boost::json::object &Object) {
  route Route;
  Route.Name = textField(Object, "name");
  Route.PathPrefix = textField(Object, "path_prefix");
  if (const auto *Methods = Object.if_contains("methods"))
    for (const auto &Method : Methods->as_array())
      Route.Methods.emplace_back(Method.as_string());
  Route.Service = textField(Object, "service");
  if (textField(Object, "access", "account") == "open")
    Route.Access = route_access::Open;
  if (const auto *Key = Object.if_contains("key"))
    Route.Key = readKeySource(Key->as_object(), Route.Name);
  Route.Idempotent = flagField(Object, "idempotent", false);
  Route.DeadlineMs = static_cast<std::uint32_t>(
      numberField(Object, "deadline_ms", Route.DeadlineMs));
  Route.MaxBodyBytes = static_cast<std::uint64_t>(numberField(
      Object, "max_body_bytes", static_cast<std::int64_t>(Route.MaxBodyBytes)));
  return Route;
}

} // namespace

rules parseRules(std::string_view Text) {
  const boost::json::value Document = parseDocument(kind(), Text);
  const auto &Object = Document.as_object();
  rules Result;
  Result.OpenIsolationMs = static_cast<std::uint32_t>(
      numberField(Object, "open_isolation_ms", Result.OpenIsolationMs));
  std::set<std::string> Names;
  for (const auto &Item : Object.at("routes").as_array()) {
    Result.Routes.push_back(readRoute(Item.as_object()));
    if (!Names.insert(Result.Routes.back().Name).second)
      refuseDocument(
          kind(), "routes",
          fmt::format("\"{}\" appears twice", Result.Routes.back().Name));
  }
  return Result;
}

void checkRulesAgainst(const rules &Rules, const inventory &Inventory) {
  for (const route &Route : Rules.Routes) {
    const service *Service = Inventory.findService(Route.Service);
    if (!Service)
      refuseDocument(
          kind(), fmt::format("routes.{}.service", Route.Name),
          fmt::format("the inventory has no service \"{}\"", Route.Service));
    const bool HasKey = Route.Key.From != key_source::place::None;
    if (Service->DividedByKey != HasKey)
      refuseDocument(
          kind(), fmt::format("routes.{}.key", Route.Name),
          HasKey ? "the service is not divided by key"
                 : "the service is divided by key and needs a key source");
  }
}

} // namespace pomelo
