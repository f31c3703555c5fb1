//! What is logged of a request, and what its attempts tell of targets.
#include "pomeloswitch/http/exchange.hpp"

#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/state/key_slot.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const component_logger &requestLog() {
  static const component_logger Log("entry.request");
  return Log;
}

//! One in this many routine requests is logged.
constexpr std::uint64_t LogSampleInterval = 16;

bool sampled(std::string_view RequestId) {
  return stableHash(RequestId) % LogSampleInterval == 0;
}

std::int64_t millisecondsOf(steady_clock::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

std::string_view nameOf(send_outcome End) {
  switch (End) {
  case send_outcome::Answered:
    return "answered";
  case send_outcome::Shed:
    return "shed";
  case send_outcome::Failed:
    return "failed";
  case send_outcome::Lost:
    return "connection_lost";
  case send_outcome::Silent:
    return "silent";
  case send_outcome::Inconclusive:
    break;
  }
  return "undecided";
}

//! Classifies the outcome of an attempt for the statistics of its target.
send_outcome sendEndOf(const target_dispatch &Dispatch, bool GivenUp) {
  if (GivenUp)
    return send_outcome::Inconclusive;
  if (Dispatch.metadata().WrongTarget)
    return send_outcome::Inconclusive;
  if (Dispatch.metadata().NotRun)
    return send_outcome::Shed;
  switch (Dispatch.failureCause()) {
  case attempt_failure::ConnectionLost:
    return send_outcome::Lost;
  case attempt_failure::TimedOut:
    return send_outcome::Silent;
  case attempt_failure::ProtocolError:
    return send_outcome::Failed;
  case attempt_failure::None:
    break;
  }
  if (Dispatch.progress() != attempt_progress::Answered)
    return send_outcome::Inconclusive;
  return Dispatch.answeredServerError() ? send_outcome::Failed
                                        : send_outcome::Answered;
}

} // namespace

//! Logs the outcome of the request and the state that it was based on. Routine
//! requests are sampled by the caller's request id, so that every host selects
//! the same ones.
void exchange::logOutcome(const std::optional<pomelo_error> &Refusal) const {
  const bool Routine = !Refusal && !CallerDisconnected &&
                       History.sendCount() <= 1 &&
                       Plan.ConfigNumber == View->ConfigNumber;
  if (Routine && !sampled(RequestId))
    return;
  const auto Now = steady_clock::now();
  boost::json::object Fields{
      {"request", RequestId},
      {"route", Plan.Route.Name},
      {"service", Plan.Service},
      {"account", Plan.Account},
      {"planned_config", Plan.ConfigNumber},
      {"planned_index", Plan.Index},
      {"config", View->ConfigNumber},
      {"index", View->Index},
      {"lease_left_ms", millisecondsOf(Context.RoutingLease.remaining())},
      {"took_ms", millisecondsOf(Now - StartedAt)},
      {"attempts", AttemptLog}};
  if (AdmittedAt)
    Fields["admitted_ms"] = millisecondsOf(*AdmittedAt - StartedAt);
  if (Slot)
    Fields["slot"] = *Slot;
  if (CallerDisconnected)
    Fields["caller"] = "gone";
  if (Refusal) {
    Fields["error"] = answerFor(Refusal->kind()).Name;
    Fields["reason"] = Refusal->what();
    Fields["retry_after_ms"] = Refusal->retryAfter().count();
  }
  requestLog().event(Refusal ? log_level::Warn : log_level::Info,
                     Refusal ? "request_failed" : "request_served", Fields);
}

//! Logs a request whose connection ends without a whole answer.
void exchange::logCut() const {
  const auto Now = steady_clock::now();
  requestLog().event(log_level::Warn, "request_cut",
                     {{"request", RequestId},
                      {"route", Plan.Route.Name},
                      {"phase", nameOf(Open.phase())},
                      {"took_ms", millisecondsOf(Now - StartedAt)},
                      {"time_left_ms", millisecondsOf(Plan.Deadline - Now)},
                      {"attempts", AttemptLog}});
}

void exchange::recordNotice(const slot_owner &Owner,
                            const target_dispatch &Dispatch) {
  const auto Now = steady_clock::now();
  if (!Context.Sending.Notices.record(*Owner.Target, Dispatch.notice(), Now))
    return;
  requestLog().event(
      log_level::Info, "target_notice",
      {{"request", RequestId},
       {"target", Owner.Target->Member.TargetId},
       {"leaving", Dispatch.notice().Leaving},
       {"wants_nothing_ms",
        std::max<std::int64_t>(
            0, millisecondsOf(Dispatch.notice().WantsNothingUntil - Now))}});
  if (Context.OnNotice)
    Context.OnNotice(Owner.Target, Dispatch.notice());
}

//! Counts the request for the roll-out of its service, if one is under way.
//! Responses of cold targets say nothing about their version.
void exchange::recordForRollout(const routing_target &Target, bool Cold,
                                send_outcome End,
                                std::chrono::nanoseconds Latency) {
  const routing_service *Service = Context.View->findService(Plan.Service);
  if (!Service || !Service->Split)
    return;
  counted_attempt Attempt;
  Attempt.Route = Plan.Route.Name;
  Attempt.TargetId = Target.Member.TargetId;
  Attempt.NewVersion = Target.Member.Version == Service->Split->Version;
  Attempt.Failed =
      !Cold && (End == send_outcome::Failed || End == send_outcome::Lost ||
                End == send_outcome::Silent);
  if (!Cold && End == send_outcome::Answered)
    Attempt.Latency = Latency;
  Context.Rollouts.record(Plan.Service, Service->Split->StartedIndex, Attempt);
}

void exchange::recordAttempt(const slot_owner &Owner,
                             const target_dispatch &Dispatch,
                             steady_clock::time_point SentAt) {
  recordNotice(Owner, Dispatch);
  LastProgress = Dispatch.progress();
  LastFailure = Dispatch.failureCause();
  History.recordOutcome(LastProgress != attempt_progress::NothingSent,
                        LastFailure == attempt_failure::ConnectionLost &&
                            !givenUp());
  const auto Now = steady_clock::now();
  const send_outcome End = sendEndOf(Dispatch, givenUp());
  // Taken before the outcome is recorded: a lost connection makes the target
  // suspected of being cold, which must not hide that very loss.
  const routing_service *Service = Context.View->findService(Plan.Service);
  const bool Cold =
      Service && Service->Split && Context.Sending.isCold(*Owner.Target, Now);
  Context.Sending.Statistics.recordOutcome(*Owner.Target, End, Now - SentAt,
                                           Now);
  if (End == send_outcome::Answered || End == send_outcome::Shed)
    Context.ConnectionLosses.answered(Owner.Target->Member, SentAt);
  if (LastProgress != attempt_progress::NothingSent)
    recordForRollout(*Owner.Target, Cold, End, Now - SentAt);
  boost::json::object Entry{{"target", Owner.Target->Member.TargetId},
                            {"sent_ms", millisecondsOf(SentAt - StartedAt)},
                            {"took_ms", millisecondsOf(Now - SentAt)},
                            {"end", nameOf(End)}};
  if (Plan.Key) {
    Entry["slot"] = Owner.Slot;
    Entry["token"] = Owner.Token;
  }
  AttemptLog.push_back(std::move(Entry));
}

} // namespace pomelo
