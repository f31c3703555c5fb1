#include "pomeloswitch/state/command_urgency.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <algorithm>

namespace pomelo {
namespace {

//! Or a decision that carries one of them out.
bool isOperatorsChange(const wire::command &Command) {
  switch (Command.body_case()) {
  case wire::command::kSetInventory:
  case wire::command::kSetRules:
  case wire::command::kIssueKey:
  case wire::command::kWithdrawKey:
  case wire::command::kSetDrain:
  case wire::command::kReplaceConfiguration:
  case wire::command::kStartRollout:
  case wire::command::kAdvanceRollout:
    return true;
  default:
    return false;
  }
}

bool revokesFromUncheckingOwner(const cluster_state &State,
                                const wire::revoke_slots &Revoke) {
  const auto Slots = State.sharedSlots(Revoke.service());
  return Slots && std::any_of(Revoke.slots().begin(), Revoke.slots().end(),
                              [&Slots](std::uint32_t Number) {
                                return Number < Slots->size() &&
                                       !(*Slots)[Number].OwnerChecksFence;
                              });
}

} // namespace

bool isUrgent(const wire::command &Command) {
  return isOperatorsChange(Command) || Command.has_target_leaving() ||
         Command.has_report_crash();
}

bool awaitsEntryHosts(const cluster_state &State,
                      const wire::command &Command) {
  return isOperatorsChange(Command) ||
         (Command.has_revoke_slots() &&
          revokesFromUncheckingOwner(State, Command.revoke_slots()));
}

} // namespace pomelo
