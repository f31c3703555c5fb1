#include "pomeloswitch/state/command_urgency.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <gtest/gtest.h>

#include <functional>

namespace pomelo {
namespace {

struct urgency_case {
  std::string Name;
  std::function<void(wire::command &)> Fill;
  bool Urgent = false;
  bool Awaited = false;
};

void PrintTo(const urgency_case &Case, std::ostream *Out) { *Out << Case.Name; }

class command_urgency : public testing::TestWithParam<urgency_case> {};

TEST_P(command_urgency, follows_from_who_waits_for_it) {
  wire::command Command;
  GetParam().Fill(Command);
  EXPECT_EQ(isUrgent(Command), GetParam().Urgent);
  EXPECT_EQ(awaitsEntryHosts(cluster_state(), Command), GetParam().Awaited);
}

INSTANTIATE_TEST_SUITE_P(
    each, command_urgency,
    testing::Values(
        urgency_case{"configuration",
                     [](auto &C) { C.mutable_replace_configuration(); }, true,
                     true},
        urgency_case{"inventory", [](auto &C) { C.mutable_set_inventory(); },
                     true, true},
        urgency_case{"key_withdrawn", [](auto &C) { C.mutable_withdraw_key(); },
                     true, true},
        urgency_case{"drain", [](auto &C) { C.mutable_set_drain(); }, true,
                     true},
        urgency_case{"target_leaving",
                     [](auto &C) { C.mutable_target_leaving(); }, true, false},
        urgency_case{"crash", [](auto &C) { C.mutable_report_crash(); }, true,
                     false},
        urgency_case{"target_joined",
                     [](auto &C) { C.mutable_target_joined(); }},
        urgency_case{"slots_granted", [](auto &C) { C.mutable_grant_slots(); }},
        urgency_case{"claim", [](auto &C) { C.mutable_claim_run(); }},
        urgency_case{"slots_of_an_unknown_service_revoked",
                     [](auto &C) {
                       C.mutable_revoke_slots()->set_service("none");
                       C.mutable_revoke_slots()->add_slots(1);
                     }}),
    [](const auto &Info) { return Info.param.Name; });

struct owner_case {
  std::string Name;
  bool ChecksFence;
};

void PrintTo(const owner_case &Case, std::ostream *Out) { *Out << Case.Name; }

class revocation : public testing::TestWithParam<owner_case> {};

//! An owner that checks fencing tokens releases its slots by itself.
TEST_P(revocation, awaits_entry_hosts_unless_the_owner_checks_tokens) {
  wire::state_snapshot Snapshot;
  auto *Slots = Snapshot.add_slots();
  Slots->set_service("s");
  auto *Slot = Slots->add_slots();
  Slot->set_owner("t");
  Slot->set_phase(static_cast<std::uint32_t>(slot_phase::Revoking));
  Slot->set_owner_checks(GetParam().ChecksFence);
  wire::command Command;
  Command.mutable_revoke_slots()->set_service("s");
  Command.mutable_revoke_slots()->add_slots(0);
  EXPECT_EQ(awaitsEntryHosts(cluster_state::fromSnapshot(Snapshot), Command),
            !GetParam().ChecksFence);
}

INSTANTIATE_TEST_SUITE_P(each_owner, revocation,
                         testing::Values(owner_case{"checks", true},
                                         owner_case{"does_not_check", false}),
                         [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
