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

std::vector<route_destination>
readDestinations(const boost::json::object &Object,
                 std::string_view RouteName) {
  const auto *Split = Object.if_contains("split");
  if ((Split != nullptr) == Object.contains("service"))
    refuseDocument(kind(), fmt::format("routes.{}.service", RouteName),
                   "a route needs either a service or a split");
  if (!Split)
    return {{stringField(Object, "service"), 1}};
  std::vector<route_destination> Destinations;
  for (const auto &Item : Split->as_array())
    Destinations.push_back({stringField(Item.as_object(), "service"),
                            doubleField(Item.as_object(), "weight", 0)});
  const bool AnyPositive =
      std::any_of(Destinations.begin(), Destinations.end(),
                  [](const route_destination &Destination) {
                    return Destination.Weight > 0;
                  });
  if (!AnyPositive)
    refuseDocument(kind(), fmt::format("routes.{}.split", RouteName),
                   "no part has a weight above 0");
  return Destinations;
}

route readRoute(const boost::json::object &Object) {
  route Route;
  Route.Name = stringField(Object, "name");
  Route.PathPrefix = stringField(Object, "path_prefix");
  if (const auto *Methods = Object.if_contains("methods"))
    for (const auto &Method : Methods->as_array())
      Route.Methods.emplace_back(Method.as_string());
  Route.Host = boost::algorithm::to_lower_copy(stringField(Object, "host"));
  Route.Destinations = readDestinations(Object, Route.Name);
  if (stringField(Object, "access", "account") == "open")
    Route.Access = route_access::Open;
  Route.Key =
      readKeySource(kind(), Object, fmt::format("routes.{}", Route.Name));
  Route.Idempotent = boolField(Object, "idempotent", false);
  Route.DeadlineMs = static_cast<std::uint32_t>(
      integerField(Object, "deadline_ms", Route.DeadlineMs));
  Route.LatencyGoalMs =
      static_cast<std::uint32_t>(integerField(Object, "aim_ms", 0));
  Route.Priority =
      static_cast<std::uint32_t>(integerField(Object, "priority", 0));
  Route.MaxTargets = static_cast<std::uint32_t>(
      integerField(Object, "max_targets", Route.MaxTargets));
  Route.MaxBodyBytes = static_cast<std::uint64_t>(integerField(
      Object, "max_body_bytes", static_cast<std::int64_t>(Route.MaxBodyBytes)));
  return Route;
}

caller_bounds readCallers(const boost::json::object &Object) {
  caller_bounds Bounds;
  const auto *Member = Object.if_contains("callers");
  if (!Member)
    return Bounds;
  const auto &Callers = Member->as_object();
  const auto Override = [&Callers](std::string_view Name, auto &Value) {
    Value = static_cast<std::decay_t<decltype(Value)>>(
        integerField(Callers, Name, static_cast<std::int64_t>(Value)));
  };
  Override("max_header_bytes", Bounds.HeaderBytes);
  Override("max_body_bytes", Bounds.BodyBytes);
  Override("header_timeout_ms", Bounds.HeaderTimeoutMs);
  Override("idle_timeout_ms", Bounds.IdleTimeoutMs);
  return Bounds;
}

//! A goal this far beyond the deadline is certainly a mistake.
constexpr std::uint32_t MaxGoalBeyondDeadlineMs = 60000;

void checkRoute(const route &Route) {
  if (Route.LatencyGoalMs >= Route.DeadlineMs + MaxGoalBeyondDeadlineMs)
    refuseDocument(kind(), fmt::format("routes.{}.aim_ms", Route.Name),
                   "the aim is a minute or more above the deadline");
}

//! Two routes for all methods with the same host and path prefix match the same
//! requests, so one of them could never be used.
void refuseDuplicateMatches(const std::vector<route> &Routes) {
  std::map<std::pair<std::string_view, std::string_view>, std::string_view>
      RoutesByMatch;
  for (const route &Route : Routes) {
    if (!Route.Methods.empty())
      continue;
    const auto [Existing, Inserted] =
        RoutesByMatch.try_emplace({Route.Host, Route.PathPrefix}, Route.Name);
    if (!Inserted)
      refuseDocument(kind(), fmt::format("routes.{}.path_prefix", Route.Name),
                     fmt::format("the route \"{}\" has the same host and "
                                 "prefix",
                                 Existing->second));
  }
}

} // namespace

rules parseRules(std::string_view Text) {
  const boost::json::value Document = parseDocument(kind(), Text);
  const auto &Object = Document.as_object();
  rules Result;
  Result.OpenIsolationMs = static_cast<std::uint32_t>(
      integerField(Object, "open_isolation_ms", Result.OpenIsolationMs));
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
  refuseDuplicateMatches(Result.Routes);
  return Result;
}

void checkRulesAgainst(const rules &Rules, const inventory &Inventory) {
  for (const route &Route : Rules.Routes)
    for (const route_destination &Destination : Route.Destinations) {
      const service *Service = Inventory.findService(Destination.Service);
      if (!Service)
        refuseDocument(kind(), fmt::format("routes.{}.service", Route.Name),
                       fmt::format("the inventory has no service \"{}\"",
                                   Destination.Service));
      if (!Service->DividedByKey && !Route.Key.none())
        refuseDocument(kind(), fmt::format("routes.{}.key", Route.Name),
                       "the service is not divided by key");
      if (Service->DividedByKey && Route.Key.none() && Service->Key.none())
        refuseDocument(kind(), fmt::format("routes.{}.key", Route.Name),
                       "the service is divided by key and needs a key source");
    }
}

} // namespace pomelo
