#include "pomeloswitch/control/decision_events.hpp"

#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <functional>

namespace pomelo {
namespace {

struct command_case {
  std::string Name; //!< Expected event name.
  std::function<void(wire::command &)> Fill;
  std::string Fields; //!< Expected fields as JSON.
};

class command_event : public testing::TestWithParam<command_case> {};

TEST_P(command_event, describes_the_committed_command) {
  wire::command Command;
  GetParam().Fill(Command);
  const auto Event = eventFor(Command, apply_result(), 12);
  ASSERT_TRUE(Event);
  EXPECT_EQ(Event->Name, GetParam().Name);
  EXPECT_EQ(boost::json::value(Event->Fields),
            boost::json::parse(GetParam().Fields));
}

void fillGrants(wire::command &Command) {
  auto &Grants = *Command.mutable_grant_slots();
  Grants.set_service("s");
  for (const std::uint32_t Slot : {3, 4, 5, 9}) {
    auto *Grant = Grants.add_grants();
    Grant->set_slot(Slot);
    Grant->set_target_id(Slot == 9 ? "b" : "a");
  }
}

void fillRevokes(wire::command &Command) {
  auto &Revokes = *Command.mutable_revoke_slots();
  Revokes.set_service("s");
  for (const std::uint32_t Slot : {0, 7, 8})
    Revokes.add_slots(Slot);
}

void fillConfiguration(wire::command &Command) {
  auto &Change = *Command.mutable_replace_configuration();
  Change.set_number(5);
  Change.set_source("the secret key k-1");
  Change.add_keys()->set_key_hash("hash");
}

void fillDrain(wire::command &Command) {
  auto &Drain = *Command.mutable_set_drain();
  Drain.set_scope(wire::set_drain::FAILURE_DOMAIN);
  Drain.set_name("d1");
  Drain.set_out(true);
}

void fillLeaving(wire::command &Command) {
  Command.mutable_target_leaving()->set_target_id("t");
  Command.mutable_target_leaving()->set_incarnation(3);
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, command_event,
    testing::Values(
        command_case{
            "slots_granted", fillGrants,
            R"({"service":"s","owners":{"a":"3-5","b":"9"},"index":12})"},
        command_case{"slots_revoked", fillRevokes,
                     R"({"service":"s","slots":"0,7-8","index":12})"},
        command_case{"configuration_replaced", fillConfiguration,
                     R"({"config":5,"index":12})"},
        command_case{"drain_changed", fillDrain,
                     R"({"failure_domain":"d1","out":true,"index":12})"},
        command_case{"target_leaving", fillLeaving,
                     R"({"target":"t","incarnation":3,"index":12})"}),
    [](const auto &Case) { return Case.param.Name; });

TEST(command_event, reports_why_a_change_was_refused) {
  wire::command Command;
  fillConfiguration(Command);
  apply_result Result;
  Result.Refusal = error_kind::BadRequest;
  Result.Message = "a route names no service";
  const auto Event = eventFor(Command, Result, 1);
  ASSERT_TRUE(Event);
  EXPECT_EQ(Event->Fields.at("error").as_string(),
            answerFor(error_kind::BadRequest).Name);
  EXPECT_EQ(Event->Fields.at("reason").as_string(), "a route names no service");
}

TEST(command_event, is_absent_for_single_request_commands) {
  wire::command Command;
  Command.mutable_claim_run();
  EXPECT_FALSE(eventFor(Command, apply_result(), 1));
}

struct order_case {
  std::string Name;
  order_kind Kind;
  order_outcome Outcome;
  std::string End; //!< Expected "end" field; empty if no event.
};

class order_event : public testing::TestWithParam<order_case> {};

TEST_P(order_event, is_logged_unless_a_grant_was_done) {
  target_order Order;
  Order.Kind = GetParam().Kind;
  Order.TargetId = "t";
  Order.FirstSlot = 2;
  Order.LastSlot = 4;
  const auto Event = eventFor(Order, {GetParam().Outcome, {}});
  ASSERT_EQ(Event.has_value(), !GetParam().End.empty());
  if (!Event)
    return;
  EXPECT_EQ(Event->Fields.at("end").as_string(), GetParam().End);
  EXPECT_EQ(Event->Fields.at("slots").as_string(), "2-4");
}

INSTANTIATE_TEST_SUITE_P(
    each_outcome, order_event,
    testing::Values(order_case{"grant_done", order_kind::Grant,
                               order_outcome::Done, ""},
                    order_case{"grant_unanswered", order_kind::Grant,
                               order_outcome::NoAnswer, "no_answer"},
                    order_case{"grant_refused", order_kind::Grant,
                               order_outcome::Refused, "refused"},
                    order_case{"release_done", order_kind::Release,
                               order_outcome::Done, "done"},
                    order_case{"release_gone", order_kind::Release,
                               order_outcome::ProcessEnded, "gone"}),
    [](const auto &Case) { return Case.param.Name; });

} // namespace
} // namespace pomelo
