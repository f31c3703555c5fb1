#include "pomeloswitch/sending/send_history.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

//! A request that crashed two targets must not be sent to a third one.
constexpr unsigned MaxLostConnections = 2;
//! Sends of one request, including those that targets did not run.
constexpr unsigned MaxSends = 4;
constexpr unsigned MaxUnsent = 4;

} // namespace

bool send_history::wasSentTo(std::string_view TargetId) const {
  return std::find(Targets.begin(), Targets.end(), TargetId) != Targets.end();
}

void send_history::recordSend(std::string_view TargetId) {
  ++Sends;
  if (!wasSentTo(TargetId))
    Targets.emplace_back(TargetId);
  EarlierMightHaveRun = AnyMightHaveRun;
  AnyMightHaveRun = true;
}

void send_history::recordOutcome(bool MightHaveRun, bool ConnectionLost) {
  AnyMightHaveRun = EarlierMightHaveRun || MightHaveRun;
  LostConnections += ConnectionLost ? 1 : 0;
}

bool send_history::maySendTo(std::string_view TargetId,
                             unsigned MaxTargets) const {
  return Targets.size() < MaxTargets || wasSentTo(TargetId);
}

bool send_history::mayRetry(error_kind Kind, const retry_policy &Policy) const {
  if (LostConnections >= MaxLostConnections || Sends >= MaxSends ||
      Unsent >= MaxUnsent)
    return false;
  // A request without a key goes to a different target each time.
  if (!Policy.KeyBound && Targets.size() >= Policy.MaxTargets)
    return false;
  return Kind == error_kind::UpstreamFailed ||
         (Kind == error_kind::OutcomeUnknown && Policy.Idempotent);
}

pomelo_error send_history::withEarlierSends(const pomelo_error &Failure) const {
  const bool ClaimsNotRun =
      answerFor(Failure.kind()).RunState == run_state::NotRun;
  if (!AnyMightHaveRun || !ClaimsNotRun)
    return Failure;
  return pomelo_error(
      error_kind::OutcomeUnknown,
      fmt::format("an earlier attempt may have run; {}", Failure.what()));
}

} // namespace pomelo
