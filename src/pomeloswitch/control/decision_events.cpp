#include "pomeloswitch/control/decision_events.hpp"

#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <map>
#include <string_view>
#include <vector>

namespace pomelo {
namespace {

namespace json = boost::json;
using wire::command;

//! Formats ascending slot numbers as ranges, such as "3-7,12".
template <typename slots> std::string formatRanges(const slots &Slots) {
  std::string Text;
  for (std::size_t First = 0; First < Slots.size();) {
    std::size_t Last = First;
    while (Last + 1 < Slots.size() && Slots[Last + 1] == Slots[Last] + 1)
      ++Last;
    Text += Text.empty() ? "" : ",";
    Text += First == Last ? fmt::format("{}", Slots[First])
                          : fmt::format("{}-{}", Slots[First], Slots[Last]);
    First = Last + 1;
  }
  return Text;
}

template <typename member> json::object targetFields(const member &Member) {
  return {{"target", Member.target_id()},
          {"incarnation", Member.incarnation()}};
}

template <typename member> json::object hostFields(const member &Member) {
  return {{"host", Member.host_id()}, {"incarnation", Member.incarnation()}};
}

json::object joinedFields(const wire::target_joined &Joined) {
  json::object Fields = targetFields(Joined);
  Fields["service"] = Joined.service();
  Fields["address"] = Joined.address();
  Fields["failure_domain"] = Joined.failure_domain();
  Fields["cold"] = Joined.cold();
  return Fields;
}

json::object coldFields(const wire::target_cold &Change) {
  json::object Fields = targetFields(Change);
  Fields["cold"] = Change.cold();
  return Fields;
}

json::object grantFields(const wire::grant_slots &Grants) {
  std::map<std::string, std::vector<std::uint32_t>> ByTarget;
  for (const wire::slot_grant &Grant : Grants.grants())
    ByTarget[Grant.target_id()].push_back(Grant.slot());
  json::object Owners;
  for (const auto &[Target, Slots] : ByTarget)
    Owners[Target] = formatRanges(Slots);
  return {{"service", Grants.service()}, {"owners", Owners}};
}

json::object revokeFields(const wire::revoke_slots &Revokes) {
  const std::vector<std::uint32_t> Slots(Revokes.slots().begin(),
                                         Revokes.slots().end());
  return {{"service", Revokes.service()}, {"slots", formatRanges(Slots)}};
}

json::object drainFields(const wire::set_drain &Drain) {
  const bool Domain = Drain.scope() == wire::set_drain::FAILURE_DOMAIN;
  return {{Domain ? "failure_domain" : "target", Drain.name()},
          {"out", Drain.out()}};
}

json::object advanceFields(const wire::advance_rollout &Change) {
  return {{"service", Change.service()},
          {"stage", toString(static_cast<rollout_stage>(Change.stage()))},
          {"share", Change.share_permille() / double{WholeShare}},
          {"reason", Change.reason()}};
}

decision_event makeOperatorEvent(std::string Name, json::object Fields,
                                 const apply_result &Result) {
  if (Result.Refusal)
    Fields["error"] = answerFor(*Result.Refusal).Name;
  if (!Result.Message.empty())
    Fields["reason"] = Result.Message;
  return {std::move(Name), std::move(Fields)};
}

std::optional<decision_event> operatorEventFor(const command &Command,
                                               const apply_result &Result) {
  switch (Command.body_case()) {
  case command::kReplaceConfiguration:
    return makeOperatorEvent(
        "configuration_replaced",
        {{"config", Command.replace_configuration().number()}}, Result);
  case command::kSetInventory:
    return makeOperatorEvent("inventory_changed", {{"version", Result.Version}},
                             Result);
  case command::kSetRules:
    return makeOperatorEvent("rules_changed", {{"version", Result.Version}},
                             Result);
  case command::kIssueKey:
    return makeOperatorEvent("key_issued",
                             {{"account", Command.issue_key().account()},
                              {"key_id", Command.issue_key().key_id()}},
                             Result);
  case command::kWithdrawKey:
    return makeOperatorEvent(
        "key_withdrawn", {{"key_id", Command.withdraw_key().key_id()}}, Result);
  case command::kSetDrain:
    return makeOperatorEvent("drain_changed", drainFields(Command.set_drain()),
                             Result);
  case command::kStartRollout:
    return makeOperatorEvent(
        "rollout_started",
        {{"service", Command.start_rollout().service()},
         {"version", Command.start_rollout().version()},
         {"duration_ms", Command.start_rollout().duration_ms()}},
        Result);
  case command::kAdvanceRollout:
    return decision_event{"rollout_advanced",
                          advanceFields(Command.advance_rollout())};
  default:
    return std::nullopt;
  }
}

std::optional<decision_event> memberEventFor(const command &Command) {
  switch (Command.body_case()) {
  case command::kHostJoined:
    return decision_event{"host_joined", hostFields(Command.host_joined())};
  case command::kHostLeft:
    return decision_event{"host_left", hostFields(Command.host_left())};
  case command::kTargetJoined:
    return decision_event{"target_joined",
                          joinedFields(Command.target_joined())};
  case command::kTargetLeaving:
    return decision_event{"target_leaving",
                          targetFields(Command.target_leaving())};
  case command::kTargetLeft:
    return decision_event{"target_left", targetFields(Command.target_left())};
  case command::kTargetCold:
    return decision_event{"target_cold", coldFields(Command.target_cold())};
  case command::kGrantSlots:
    return decision_event{"slots_granted", grantFields(Command.grant_slots())};
  case command::kRevokeSlots:
    return decision_event{"slots_revoked",
                          revokeFields(Command.revoke_slots())};
  case command::kReportCrash:
    return decision_event{"crash_reported",
                          targetFields(Command.report_crash())};
  default:
    return std::nullopt;
  }
}

std::string_view outcomeName(order_outcome Outcome) {
  switch (Outcome) {
  case order_outcome::Done:
    return "done";
  case order_outcome::NotDone:
    return "not_done";
  case order_outcome::Refused:
    return "refused";
  case order_outcome::NoAnswer:
    return "no_answer";
  case order_outcome::ConnectionBroken:
    return "broken";
  case order_outcome::Unreachable:
    return "unreachable";
  case order_outcome::ProcessEnded:
    break;
  }
  return "gone";
}

} // namespace

std::optional<decision_event> eventFor(const command &Command,
                                       const apply_result &Result,
                                       std::uint64_t Index) {
  auto Event = operatorEventFor(Command, Result);
  if (!Event)
    Event = memberEventFor(Command);
  if (Event)
    Event->Fields["index"] = Index;
  return Event;
}

std::optional<decision_event> eventFor(const target_order &Order,
                                       const order_result &Result) {
  const bool Granting = Order.Kind == order_kind::Grant;
  if (Granting && Result.Outcome == order_outcome::Done)
    return std::nullopt;
  return decision_event{
      Granting ? "grant_ended" : "release_ended",
      {{"target", Order.TargetId},
       {"incarnation", Order.Incarnation},
       {"service", Order.Service},
       {"slots", fmt::format("{}-{}", Order.FirstSlot, Order.LastSlot)},
       {"token", Order.Token},
       {"end", outcomeName(Result.Outcome)}}};
}

} // namespace pomelo
