#include "fault_proxy/fault_proxy.hpp"

#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <string_view>

namespace pomelo::fault_proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

constexpr std::string_view AllRoutes = "*";

struct request_schema {
  std::string_view Path;
  std::string_view Schema;
};

constexpr std::string_view RouteSchema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["name", "upstream"],
  "properties": {"name": {"type": "string", "minLength": 1},
                 "upstream": {"type": "string"},
                 "listen": {"type": "string"}}})json";
constexpr std::string_view FaultsSchema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["route", "faults"],
  "properties": {"route": {"type": "string"}, "source": {"type": "string"},
                 "faults": {"type": "object"}}})json";
constexpr std::string_view ActionSchema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["route", "action"],
  "properties": {"route": {"type": "string"},
                 "action": {"enum": ["reset", "silence", "clear"]}}})json";

} // namespace

proxy::proxy(asio::io_context &Io, const tcp::endpoint &Control)
    : Io(Io), Server(Io, Control, [this](const text_request &Request) {
        return handle(Request);
      }) {}

tcp::endpoint proxy::addRoute(const std::string &Name,
                              const tcp::endpoint &Upstream,
                              const tcp::endpoint &Listen) {
  if (Routes.contains(Name))
    throw pomelo_error(error_kind::BadRequest,
                       fmt::format("route {} already exists", Name));
  auto Route = std::make_unique<proxy_route>(Io, Listen, Upstream, &Sources);
  tcp::endpoint Address = Route->address();
  Routes.emplace(Name, std::move(Route));
  return Address;
}

proxy_route &proxy::route(std::string_view Name) {
  const auto Found = Routes.find(Name);
  if (Found == Routes.end())
    throw pomelo_error(error_kind::NotFound,
                       fmt::format("route {} does not exist", Name));
  return *Found->second;
}

void proxy::forEachNamed(std::string_view Name,
                         const std::function<void(proxy_route &)> &Do) {
  if (Name != AllRoutes)
    return Do(route(Name));
  for (const auto &[Each, Route] : Routes)
    Do(*Route);
}

asio::awaitable<text_response> proxy::handle(const text_request &Request) {
  struct endpoint_handler {
    std::string_view Path;
    std::string_view Schema;
    void (proxy::*Handle)(const json::object &);
  };
  static constexpr endpoint_handler Handlers[] = {
      {"/v1/routes", RouteSchema, &proxy::postRoute},
      {"/v1/faults", FaultsSchema, &proxy::postFaults},
      {"/v1/actions", ActionSchema, &proxy::postAction}};
  if (Request.method() == http::verb::get && Request.target() == "/v1/routes")
    co_return makeJsonResponse(describe(), Request.version());
  for (const auto &[Path, Schema, Handle] : Handlers) {
    if (Request.method() != http::verb::post || Request.target() != Path)
      continue;
    const json::value Body = parseDocument(
        {"proxy control", Schema, error_kind::BadRequest}, Request.body());
    (this->*Handle)(Body.as_object());
    co_return makeJsonResponse(describe(), Request.version());
  }
  throw pomelo_error(error_kind::NotFound, "no such endpoint");
}

void proxy::postRoute(const json::object &Body) {
  addRoute(stringField(Body, "name"),
           parseEndpoint(stringField(Body, "upstream")),
           parseEndpoint(stringField(Body, "listen", "127.0.0.1:0")));
}

void proxy::postFaults(const json::object &Body) {
  const route_faults Faults = parseFaults(Body.at("faults").as_object());
  const std::string Source = stringField(Body, "source");
  forEachNamed(stringField(Body, "route"), [&](proxy_route &Route) {
    if (Source.empty())
      Route.setFaults(Faults);
    else
      Route.setFaultsFrom(Source, Faults);
  });
}

void proxy::postAction(const json::object &Body) {
  const std::string Action = stringField(Body, "action");
  forEachNamed(stringField(Body, "route"), [&](proxy_route &Route) {
    if (Action == "reset")
      Route.resetOpen();
    else if (Action == "silence")
      Route.silenceOpen();
    else
      Route.clearFaults();
  });
}

std::string proxy::describe() const {
  json::object All;
  for (const auto &[Name, Route] : Routes)
    All[Name] = json::object{{"listen", toString(Route->address())},
                             {"upstream", toString(Route->upstream())},
                             {"connections", Route->connections()},
                             {"faults", describeFaults(Route->faults())}};
  return json::serialize(json::object{{"routes", std::move(All)}});
}

} // namespace pomelo::fault_proxy
