#include "pomeloswitch/settings/rules.hpp"

#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch/settings/inventory.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace pomelo {
namespace {

const std::string &schema() {
  static const std::string Schema =
      fmt::format(R"json({{
  "definitions": {{ {} }},
  "type": "object", "additionalProperties": false,
  "required": ["routes"],
  "properties": {{
    "open_isolation_ms": {{"type": "integer", "minimum": 0,
                           "maximum": 3600000}},
    "callers": {{
      "type": "object", "additionalProperties": false,
      "properties": {{
        "max_header_bytes": {{"type": "integer", "minimum": 256,
                              "maximum": 1048576}},
        "max_body_bytes": {{"type": "integer", "minimum": 0}},
        "header_timeout_ms": {{"type": "integer", "minimum": 10,
                               "maximum": 600000}},
        "idle_timeout_ms": {{"type": "integer", "minimum": 10,
                             "maximum": 3600000}}
      }}
    }},
    "routes": {{
      "type": "array", "minItems": 1,
      "items": {{
        "type": "object", "additionalProperties": false,
        "required": ["name", "path_prefix"],
        "properties": {{
          "name": {{"$ref": "#/definitions/name"}},
          "host": {{"type": "string", "minLength": 1, "maxLength": 253}},
          "path_prefix": {{"type": "string", "pattern": "^/"}},
          "methods": {{
            "type": "array", "minItems": 1,
            "items": {{"enum": ["GET", "HEAD", "POST", "PUT", "DELETE",
                                "PATCH"]}}
          }},
          "service": {{"$ref": "#/definitions/name"}},
          "split": {{
            "type": "array", "minItems": 1,
            "items": {{
              "type": "object", "additionalProperties": false,
              "required": ["service", "weight"],
              "properties": {{
                "service": {{"$ref": "#/definitions/name"}},
                "weight": {{"type": "number", "minimum": 0}}
              }}
            }}
          }},
          "access": {{"enum": ["account", "open"]}},
          "key": {},
          "idempotent": {{"type": "boolean"}},
          "deadline_ms": {{"type": "integer", "minimum": 1,
                           "maximum": 600000}},
          "aim_ms": {{"type": "integer", "minimum": 0, "maximum": 660000}},
          "priority": {{"type": "integer", "minimum": 0, "maximum": 1000}},
          "max_targets": {{"type": "integer", "minimum": 1, "maximum": 100}},
          "max_body_bytes": {{"type": "integer", "minimum": 0}}
        }}
      }}
    }}
  }}
}})json",
                  CommonDefinitions, KeySourceSchema);
  return Schema;
}

const document_kind &kind() {
  static const document_kind Kind{"rules", schema(), error_kind::InvalidChange};
  return Kind;
}

std::vector<route_part> readParts(const boost::json::object &Object,
                                  std::string_view RouteName) {
  const auto *Split = Object.if_contains("split");
  if ((Split != nullptr) == Object.contains("service"))
    refuseDocument(kind(), fmt::format("routes.{}.service", RouteName),
                   "a route needs either a service or a split");
  if (!Split)
    return {{textField(Object, "service"), 1}};
  std::vector<route_part> Parts;
  for (const auto &Item : Split->as_array())
    Parts.push_back({textField(Item.as_object(), "service"),
                     realField(Item.as_object(), "weight", 0)});
  const bool Weighty =
      std::any_of(Parts.begin(), Parts.end(),
                  [](const route_part &Part) { return Part.Weight > 0; });
  if (!Weighty)
    refuseDocument(kind(), fmt::format("routes.{}.split", RouteName),
                   "no part has a weight above 0");
  return Parts;
}

route readRoute(const boost::json::object &Object) {
  route Route;
  Route.Name = textField(Object, "name");
  Route.PathPrefix = textField(Object, "path_prefix");
  if (const auto *Methods = Object.if_contains("methods"))
    for (const auto &Method : Methods->as_array())
      Route.Methods.emplace_back(Method.as_string());
  Route.Host = boost::algorithm::to_lower_copy(textField(Object, "host"));
  Route.Parts = readParts(Object, Route.Name);
  if (textField(Object, "access", "account") == "open")
    Route.Access = route_access::Open;
  Route.Key =
      readKeySource(kind(), Object, fmt::format("routes.{}", Route.Name));
  Route.Idempotent = flagField(Object, "idempotent", false);
  Route.DeadlineMs = static_cast<std::uint32_t>(
      numberField(Object, "deadline_ms", Route.DeadlineMs));
  Route.AimMs = static_cast<std::uint32_t>(numberField(Object, "aim_ms", 0));
  Route.Priority =
      static_cast<std::uint32_t>(numberField(Object, "priority", 0));
  Route.MaxTargets = static_cast<std::uint32_t>(
      numberField(Object, "max_targets", Route.MaxTargets));
  Route.MaxBodyBytes = static_cast<std::uint64_t>(numberField(
      Object, "max_body_bytes", static_cast<std::int64_t>(Route.MaxBodyBytes)));
  return Route;
}

caller_bounds readCallers(const boost::json::object &Object) {
  caller_bounds Bounds;
  const auto *Member = Object.if_contains("callers");
  if (!Member)
    return Bounds;
  const auto &Callers = Member->as_object();
  const auto Read = [&Callers](std::string_view Name, auto &Value) {
    Value = static_cast<std::decay_t<decltype(Value)>>(
        numberField(Callers, Name, static_cast<std::int64_t>(Value)));
  };
  Read("max_header_bytes", Bounds.HeaderBytes);
  Read("max_body_bytes", Bounds.BodyBytes);
  Read("header_timeout_ms", Bounds.HeaderTimeoutMs);
  Read("idle_timeout_ms", Bounds.IdleTimeoutMs);
  return Bounds;
}

//! An aim this far beyond the deadline can only be a mistake.
constexpr std::uint32_t MaxAimBeyondDeadlineMs = 60000;

void checkRoute(const route &Route) {
  if (Route.AimMs >= Route.DeadlineMs + MaxAimBeyondDeadlineMs)
    refuseDocument(kind(), fmt::format("routes.{}.aim_ms", Route.Name),
                   "the aim is a minute or more above the deadline");
}

//! Routes of one place that some method shares could never both match.
void refuseSamePlace(const std::vector<route> &Routes) {
  std::map<std::pair<std::string_view, std::string_view>, std::string_view>
      Places;
  for (const route &Route : Routes) {
    if (!Route.Methods.empty())
      continue;
    const auto [Place, Fresh] =
        Places.try_emplace({Route.Host, Route.PathPrefix}, Route.Name);
    if (!Fresh)
      refuseDocument(kind(), fmt::format("routes.{}.path_prefix", Route.Name),
                     fmt::format("the route \"{}\" has the same host and "
                                 "prefix",
                                 Place->second));
  }
}

} // namespace

rules parseRules(std::string_view Text) {
  const boost::json::value Document = parseDocument(kind(), Text);
  const auto &Object = Document.as_object();
  rules Result;
  Result.OpenIsolationMs = static_cast<std::uint32_t>(
      numberField(Object, "open_isolation_ms", Result.OpenIsolationMs));
  Result.Callers = readCallers(Object);
  std::set<std::string> Names;
  for (const auto &Item : Object.at("routes").as_array()) {
    Result.Routes.push_back(readRoute(Item.as_object()));
    if (!Names.insert(Result.Routes.back().Name).second)
      refuseDocument(
          kind(), "routes",
          fmt::format("\"{}\" appears twice", Result.Routes.back().Name));
    checkRoute(Result.Routes.back());
  }
  refuseSamePlace(Result.Routes);
  return Result;
}

void checkRulesAgainst(const rules &Rules, const inventory &Inventory) {
  for (const route &Route : Rules.Routes)
    for (const route_part &Part : Route.Parts) {
      const service *Service = Inventory.findService(Part.Service);
      if (!Service)
        refuseDocument(
            kind(), fmt::format("routes.{}.service", Route.Name),
            fmt::format("the inventory has no service \"{}\"", Part.Service));
      if (!Service->DividedByKey && !Route.Key.none())
        refuseDocument(kind(), fmt::format("routes.{}.key", Route.Name),
                       "the service is not divided by key");
      if (Service->DividedByKey && Route.Key.none() && Service->Key.none())
        refuseDocument(kind(), fmt::format("routes.{}.key", Route.Name),
                       "the service is divided by key and needs a key source");
    }
}

} // namespace pomelo
