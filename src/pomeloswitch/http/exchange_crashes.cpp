//! Requests that may crash their targets: what is reported, cleared and
//! refused.
#include "pomeloswitch/http/claim_exchange.hpp"
#include "pomeloswitch/http/crash_check.hpp"
#include "pomeloswitch/http/exchange.hpp"

#include <chrono>

namespace pomelo {

namespace asio = boost::asio;
using std::chrono::steady_clock;

std::string exchange::fingerprint() const {
  return fingerprintOf({Plan.Account, Request.get().method_string(),
                        Request.get().target(), Body.prefix(), Body.length()});
}

void exchange::rejectPoisonRequest() const {
  const auto &Crashes = Context.View->Crashes;
  if (!Crashes || Crashes->size() == 0)
    return;
  if (Crashes->isPoison(fingerprint(), Context.View->TimeMs))
    throw pomelo_error(error_kind::PoisonRequest,
                       "the same request was running when two targets crashed");
}

//! Whether the target has been taken out or has said that it leaves.
bool exchange::mayEndByPlan(const routing_target &Target) const {
  const auto Known = Context.View->Targets.find(Target.Member.TargetId);
  const bool TakenOut =
      Known != Context.View->Targets.end() && !Known->second->AcceptsNewWork;
  return TakenOut || Context.Sending.Notices.of(Target).Leaving;
}

//! A target that closed its connection without a response may have crashed
//! because of the request. A confirmed crash is reported to the control group
//! before the request is sent to another target.
asio::awaitable<void>
exchange::handleConnectionLoss(routing_target_ptr Target) {
  const crash_report Report{fingerprint(), Target->Member.TargetId,
                            Target->Member.Incarnation};
  // A crash of a target that announces its start time is confirmed by a later
  // start time, since a refused connection may also be caused by the network in
  // between.
  const bool ReportsStartTime = Target->Member.StartedMs > 0;
  const bool Refuses =
      !ReportsStartTime && co_await refusesConnections(Target->Address);
  if (!Refuses) {
    if (!mayEndByPlan(*Target))
      Context.ConnectionLosses.add(Report, Target->Member, steady_clock::now());
    co_return;
  }
  co_await awaitCrashReport(*Context.Records, Context.Io.get_executor(),
                            Report);
}

//! Clears a request that has run to completion of all crashes.
void exchange::clearSuspicion() {
  const auto &Crashes = Context.View->Crashes;
  const bool AnyConfirmed = Crashes && Crashes->size() > 0;
  if (!AnyConfirmed && Context.ConnectionLosses.empty())
    return;
  const std::string Fingerprint = fingerprint();
  Context.ConnectionLosses.discard(Fingerprint);
  if (AnyConfirmed && Crashes->isSuspect(Fingerprint))
    Context.Records->clearSuspect(Fingerprint);
}

} // namespace pomelo
