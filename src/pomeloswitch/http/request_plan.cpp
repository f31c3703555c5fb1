#include "pomeloswitch/http/request_plan.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/retry/request_fingerprint.hpp"
#include "pomeloswitch/routing/authentication.hpp"
#include "pomeloswitch/routing/route_table.hpp"

#include <fmt/format.h>

#include <chrono>

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

//! Only an account's own requests are claimed: on a route open to all, two
//! strangers may choose the same key. An idempotent request needs no claim.
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

} // namespace

request_plan makeRequestPlan(const request_stream_parser &Request,
                             const routing_view &View,
                             std::string_view ClusterSecret) {
  if (!View.Rules)
    throw pomelo_error(error_kind::NotAuthoritative,
                       "this entry host has no state from the control group");
  const auto &Header = Request.get();
  const request_facts Facts{
      Header.method_string(), Header.target(),
      [&Header](std::string_view Name) -> std::string_view {
        return Header[Name];
      }};
  const route *Route = findRoute(*View.Rules, Facts);
  if (!Route)
    throw pomelo_error(error_kind::NoRoute, "no route covers the request");
  request_plan Plan;
  Plan.Route = *Route;
  if (Route->Access == route_access::Account)
    Plan.Account = authenticate(*View.Keys, ClusterSecret,
                                Header[http::field::authorization])
                       .Account;
  if (Route->Key.From != key_source::place::None) {
    Plan.Key = extractKey(Route->Key, Facts);
    if (!Plan.Key)
      throw pomelo_error(error_kind::MissingKey,
                         "the request does not carry the key of its service");
  }
  if (Request.content_length().value_or(0) > Route->MaxBodyBytes)
    throw pomelo_error(error_kind::BodyTooLarge,
                       fmt::format("the body is above the route's limit of {} "
                                   "bytes",
                                   Route->MaxBodyBytes));
  Plan.ClaimKeyHash = claimKeyHash(Plan, Header);
  const milliseconds Allowed(Route->DeadlineMs);
  Plan.Deadline = std::chrono::steady_clock::now() + Allowed;
  Plan.DeadlineUnixMs = unixMs(std::chrono::system_clock::now() + Allowed);
  return Plan;
}

} // namespace pomelo
