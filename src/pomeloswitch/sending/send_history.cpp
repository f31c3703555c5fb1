#include "pomeloswitch/sending/send_history.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

//! A request that costs each target its process must not take a third one.
constexpr unsigned MaxLostConnections = 2;
//! Sends of one request, those that targets did not run included.
constexpr unsigned MaxSends = 4;
constexpr unsigned MaxUnsent = 4;

} // namespace

bool send_history::knows(std::string_view TargetId) const {
  return std::find(Targets.begin(), Targets.end(), TargetId) != Targets.end();
}

void send_history::sent(std::string_view TargetId) {
  ++Sends;
  if (!knows(TargetId))
    Targets.emplace_back(TargetId);
  RanBefore = Ran;
  Ran = true;
}

void send_history::ended(bool MightHaveRun, bool ConnectionLost) {
  Ran = RanBefore || MightHaveRun;
  LostConnections += ConnectionLost ? 1 : 0;
}

bool send_history::mayGoTo(std::string_view TargetId,
                           unsigned MaxTargets) const {
  return Targets.size() < MaxTargets || knows(TargetId);
}

bool send_history::mayTryAgain(error_kind Kind, const send_terms &Terms) const {
  if (LostConnections >= MaxLostConnections || Sends >= MaxSends ||
      Unsent >= MaxUnsent)
    return false;
  // Without a key it would go to another target each time.
  if (!Terms.KeyBound && Targets.size() >= Terms.MaxTargets)
    return false;
  return Kind == error_kind::UpstreamFailed ||
         (Kind == error_kind::OutcomeUnknown && Terms.Idempotent);
}

pomelo_error send_history::truthful(const pomelo_error &Failure) const {
  const bool SaysNotRun =
      answerFor(Failure.kind()).RunState == run_state::NotRun;
  if (!Ran || !SaysNotRun)
    return Failure;
  return pomelo_error(
      error_kind::OutcomeUnknown,
      fmt::format("an earlier attempt may have run; {}", Failure.what()));
}

} // namespace pomelo
