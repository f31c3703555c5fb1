//! By which state, and until when, a request is planned.
#include "pomeloswitch/http/exchange.hpp"

#include "pomeloswitch/sending/body_admission.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelo {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto LeasePollInterval = milliseconds(10);
//! Time that a request needs on a route without a latency objective.
constexpr auto DefaultNeed = milliseconds(1000);
//! A new leader renews leases within this time.
constexpr auto MaxLeaseWait = milliseconds(500);

} // namespace

//! A host that has lost contact may not know a route or a key that was added
//! meanwhile, and such a refusal would be final.
request_plan exchange::planRequest() const {
  try {
    return makeRequestPlan(Request, Context, Plan.Service);
  } catch (const pomelo_error &Refusal) {
    const bool ByState = Refusal.kind() == error_kind::NoRoute ||
                         Refusal.kind() == error_kind::Unauthenticated;
    if (!ByState || Context.RoutingLease.valid())
      throw;
  }
  throw pomelo_error(error_kind::NotAuthoritative, LostContact);
}

//! Whether the route is served for some time after the host has lost contact,
//! by the state that its last lease vouched for.
bool exchange::mayPlanWithoutLease() const {
  const auto Isolation = milliseconds(Context.View->Rules->OpenIsolationMs);
  return Plan.Route.Access == route_access::Open && !Plan.Key &&
         Context.RoutingLease.everGranted() &&
         Context.RoutingLease.remaining() + Isolation > milliseconds(0);
}

//! Plans by the latest state: the one that the request met may be much older.
void exchange::planAgain() {
  request_plan Changed = planRequest();
  if (Changed.Account != Plan.Account && AdmittedAt)
    throw pomelo_error(error_kind::NotAuthoritative,
                       "the account of the key changed while the request "
                       "waited");
  Changed.Deadline = Plan.Deadline;
  Changed.DeadlineUnixMs = Plan.DeadlineUnixMs;
  Plan = std::move(Changed);
  View = Context.View;
  Telemetry.routed(Plan.Route.Name, Plan.Service, Plan.Account);
}

//! While the host stops, no request may last longer than its process. One that
//! would hardly be finished by then is refused; another host can take it.
void exchange::boundByStop() {
  if (!Context.EndsAt || Plan.Deadline <= *Context.EndsAt - StopMargin)
    return;
  const auto Left = *Context.EndsAt - StopMargin - steady_clock::now();
  const auto Need = Plan.Route.LatencyGoalMs > 0
                        ? milliseconds(Plan.Route.LatencyGoalMs)
                        : DefaultNeed;
  if (Left < Need)
    throw pomelo_error(error_kind::Draining, HostStops);
  const auto Cut = Plan.Deadline - (*Context.EndsAt - StopMargin);
  Plan.Deadline -= Cut;
  Plan.DeadlineUnixMs -= std::chrono::duration_cast<milliseconds>(Cut).count();
}

//! Whether the caller may have read a part of an answer.
bool exchange::answerBegun() const {
  return Open.phase() == request_phase::Relaying ||
         Open.phase() == request_phase::Answering;
}

//! Ends the request shortly before the process does, so that its caller is
//! still answered. A response that is being relayed has that time left.
void exchange::endWithHost() {
  if (answerBegun())
    return;
  HostEnds = true;
  if (!Request.is_done())
    Body.interrupt();
  if (GiveUpTarget)
    GiveUpTarget();
}

//! Refuses a body that would not reach a target in time before it is read.
void exchange::admitBodyToLink() {
  PendingBody = admitBody(Context.Sending.Link,
                          {Body.length().value_or(0), Plan.Deadline,
                           milliseconds(Plan.Route.LatencyGoalMs)},
                          steady_clock::now());
}

//! Plans the request again if the configuration has changed since. Returns
//! whether it has.
bool exchange::followConfiguration() {
  View = Context.View;
  if (Plan.madeBy(*View))
    return false;
  planAgain();
  return true;
}

//! Waits for a valid lease, to bridge a change of leader. Account quotas are
//! leased too: without this check, a host that is cut off from the control
//! group would reject requests as above the account's rate.
asio::awaitable<void> exchange::awaitLease() {
  asio::steady_timer Timer(Context.Io);
  const auto GiveUp =
      std::min(Plan.Deadline, steady_clock::now() + MaxLeaseWait);
  while (!Context.RoutingLease.valid()) {
    if (steady_clock::now() >= GiveUp)
      throw pomelo_error(error_kind::NotAuthoritative, LostContact);
    Timer.expires_after(LeasePollInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

} // namespace pomelo
