#include "pomeloswitch/http/request_plan.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/http/traffic_context.hpp"
#include "pomeloswitch/retry/request_fingerprint.hpp"
#include "pomeloswitch/routing/authentication.hpp"
#include "pomeloswitch/routing/route_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

namespace pomelo {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr std::string_view IdempotencyKeyField = "Idempotency-Key";
constexpr std::size_t MaxIdempotencyKeyBytes = 255;

std::int64_t unixMs(std::chrono::system_clock::time_point Time) {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
      .count();
}

//! Only authenticated requests are claimed: on a route with open access,
//! unrelated callers may choose the same Idempotency-Key. An idempotent request
//! needs no claim.
std::optional<std::string> claimKeyHash(const request_plan &Plan,
                                        const http::fields &Header) {
  const auto Count = Header.count(IdempotencyKeyField);
  if (Count == 0 || Plan.Route.Idempotent || Plan.Account.empty())
    return std::nullopt;
  const std::string_view Key = Header[IdempotencyKeyField];
  if (Count > 1 || Key.empty() || Key.size() > MaxIdempotencyKeyBytes)
    throw pomelo_error(error_kind::BadRequest,
                       fmt::format("the request needs one Idempotency-Key of 1 "
                                   "to {} bytes",
                                   MaxIdempotencyKeyBytes));
  return hashOfIdempotencyKey(Key);
}

void identifyAccount(request_plan &Plan, const http::fields &Header,
                     const traffic_context &Context) {
  const routing_view &View = *Context.View;
  Plan.Account = authenticate(*View.Keys, Context.ClusterSecret,
                              Header[http::field::authorization])
                     .Account;
  const client_account *Account =
      View.Inventory ? View.Inventory->findAccount(Plan.Account) : nullptr;
  Plan.RateLimited = !Account || Account->RatePerSecond > 0;
  if (Account)
    Plan.Priority = Account->Priority.value_or(Plan.Priority);
}

const std::string &selectPart(const route &Route, std::string_view Chosen,
                              random_engine &Random) {
  if (Route.Destinations.size() == 1)
    return Route.Destinations.front().Service;
  for (const route_destination &Part : Route.Destinations)
    if (Part.Service == Chosen && Part.Weight > 0)
      return Part.Service;
  std::vector<double> Weights;
  for (const route_destination &Part : Route.Destinations)
    Weights.push_back(Part.Weight);
  std::discrete_distribution<std::size_t> Distribution(Weights.begin(),
                                                       Weights.end());
  return Route.Destinations[Distribution(Random)].Service;
}

//! A service that is divided by key may define the source of its key; the
//! route's definition takes precedence.
const key_source &keySourceOf(const request_plan &Plan,
                              const routing_view &View) {
  static const key_source None;
  const routing_service *Service = View.findService(Plan.Service);
  if (!Service || !Service->Slots)
    return Plan.Route.Destinations.size() == 1 ? Plan.Route.Key : None;
  return Plan.Route.Key.none() ? Service->Key : Plan.Route.Key;
}

} // namespace

request_plan makeRequestPlan(const request_stream_parser &Request,
                             traffic_context &Context,
                             std::string_view ChosenPart) {
  const routing_view &View = *Context.View;
  if (!View.Rules || View.Rules->Routes.empty())
    throw pomelo_error(
        error_kind::NotAuthoritative,
        "this entry host has received no state from the control group");
  const auto &Header = Request.get();
  const request_attributes Facts{
      Header.method_string(), Header.target(), Header[http::field::host],
      [&Header](std::string_view Name) -> std::string_view {
        return Header[Name];
      }};
  const route *Route = findRoute(*View.Rules, Facts);
  if (!Route)
    throw pomelo_error(error_kind::NoRoute, "no route matches the request");
  request_plan Plan;
  Plan.ConfigNumber = View.ConfigNumber;
  Plan.Index = View.Index;
  Plan.Rules = View.Rules;
  Plan.Keys = View.Keys;
  Plan.Route = *Route;
  Plan.Priority = Route->Priority;
  if (Route->Access == route_access::Account)
    identifyAccount(Plan, Header, Context);
  Plan.Service = selectPart(*Route, ChosenPart, Context.Sending.Random);
  const key_source &Source = keySourceOf(Plan, View);
  if (!Source.none()) {
    Plan.Key = extractKey(Source, Facts);
    if (!Plan.Key)
      throw pomelo_error(
          error_kind::MissingKey,
          "the request does not contain the key that its service requires");
  }
  const std::uint64_t MaxBody =
      std::min(Route->MaxBodyBytes, View.Rules->Callers.BodyBytes);
  if (Request.content_length().value_or(0) > MaxBody)
    throw pomelo_error(
        error_kind::BodyTooLarge,
        fmt::format("the body exceeds the limit of {} bytes", MaxBody));
  Plan.ClaimKeyHash = claimKeyHash(Plan, Header);
  const milliseconds Allowed =
      std::min(milliseconds(Route->DeadlineMs),
               Context.Dialect.timeoutOf(Header).value_or(
                   milliseconds(Route->DeadlineMs)));
  Plan.Deadline = std::chrono::steady_clock::now() + Allowed;
  Plan.DeadlineUnixMs = unixMs(std::chrono::system_clock::now() + Allowed);
  return Plan;
}

} // namespace pomelo
