#include "pomeloswitch/sending/target_selection.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

routing_target_ptr makeTarget(const std::string &Id,
                              const std::string &FailureDomain) {
  auto Target = std::make_shared<routing_target>();
  Target->Member.TargetId = Id;
  Target->Member.Incarnation = 1;
  Target->Member.FailureDomain = FailureDomain;
  Target->Member.Slots = 2;
  return Target;
}

//! An entry host in the domain "here". The service "any" has a near and a far
//! target; the service "keyed" has one slot, owned by the near target.
class target_selection_test : public testing::Test {
protected:
  target_selection_test() {
    State.FailureDomain = "here";
    for (const auto &Target : {Near, Far})
      View.Targets[Target->Member.TargetId] = Target;
    View.Services["any"] = {"any", nullptr, {Near, Far}, 0, {}, 0};
    setOwner(slot_phase::Active);
  }

  void setOwner(slot_phase Phase) {
    slot_ownership Slot;
    Slot.Owner = "near";
    Slot.Token = 3;
    Slot.Phase = Phase;
    View.Services["keyed"] = {
        "keyed", std::make_shared<slot_table>(1, Slot), {Near}, 0, {}, 0};
  }
  static pending_request pendingRequestFor(const std::string &Service) {
    pending_request Pending;
    Pending.Service = Service;
    if (Service == "keyed")
      Pending.Key = "k";
    Pending.Deadline = Start + seconds(2);
    Pending.LatencyGoal = milliseconds(500);
    return Pending;
  }
  //! Fills the near target to capacity; its requests take \p Latency each.
  void fill(milliseconds Latency) {
    State.Statistics.recordSend(*Near, Start - Latency);
    State.Statistics.recordOutcome(*Near, send_outcome::Answered, Latency,
                                   Start);
    for (int Request = 0; Request < 4; ++Request)
      State.Statistics.recordSend(*Near, Start);
  }

  static constexpr target_selection::time_point Start{std::chrono::hours(1)};
  const routing_target_ptr Near = makeTarget("near", "here");
  const routing_target_ptr Far = makeTarget("far", "there");
  send_state State;
  routing_view View;
};

TEST_F(target_selection_test, names_the_owner_of_a_key_at_once) {
  target_selection Wait(State, pendingRequestFor("keyed"), Start);
  const auto Owner = Wait.decide(View, true, Start);
  ASSERT_TRUE(Owner);
  EXPECT_EQ(Owner->Target, Near);
  EXPECT_EQ(Owner->Token, 3U);
  EXPECT_EQ(Wait.slot(), 0U);
}

TEST_F(target_selection_test, waits_for_an_owner_and_goes_to_it) {
  setOwner(slot_phase::Revoking);
  target_selection Wait(State, pendingRequestFor("keyed"), Start);
  EXPECT_FALSE(Wait.decide(View, true, Start));
  setOwner(slot_phase::Active);
  EXPECT_TRUE(Wait.decide(View, true, Start + milliseconds(100)));
}

struct refusal_case {
  std::string Name;
  std::string Service;
  slot_phase Phase;
  bool Authoritative;
  bool Full;
  milliseconds Elapsed;
  error_kind Kind;
};

class refused_selection : public target_selection_test,
                          public testing::WithParamInterface<refusal_case> {};

TEST_P(refused_selection, tells_why_and_that_nothing_ran) {
  const refusal_case &Case = GetParam();
  setOwner(Case.Phase);
  if (Case.Full)
    fill(milliseconds(200));
  pending_request Pending = pendingRequestFor(Case.Service);
  if (Case.Service == "any")
    Pending.ExcludedTargets = {"near", "far"};
  target_selection Wait(State, Pending, Start);
  if (Case.Elapsed > milliseconds(0))
    EXPECT_FALSE(Wait.decide(View, Case.Authoritative, Start));
  try {
    Wait.decide(View, Case.Authoritative, Start + Case.Elapsed);
    FAIL() << "not refused";
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), Case.Kind);
    EXPECT_EQ(answerFor(Refusal.kind()).RunState, run_state::NotRun);
  }
}

INSTANTIATE_TEST_SUITE_P(
    each_reason, refused_selection,
    testing::Values(
        refusal_case{"no_service", "unknown", slot_phase::Active, true, false,
                     milliseconds(300), error_kind::NoTarget},
        refusal_case{"all_tried", "any", slot_phase::Active, true, false,
                     milliseconds(300), error_kind::NoTarget},
        refusal_case{"no_owner", "keyed", slot_phase::Revoking, true, false,
                     milliseconds(300), error_kind::NoOwner},
        refusal_case{"out_of_touch", "keyed", slot_phase::Active, false, false,
                     milliseconds(300), error_kind::NotAuthoritative},
        refusal_case{"full_owner", "keyed", slot_phase::Active, true, true,
                     milliseconds(300), error_kind::Overloaded}),
    [](const auto &Case) { return Case.param.Name; });

TEST_F(target_selection_test,
       refuses_at_once_where_its_turn_would_come_too_late) {
  fill(milliseconds(400));
  std::vector<std::unique_ptr<target_selection>> Ahead;
  for (int Request = 0; Request < 2; ++Request) {
    Ahead.push_back(std::make_unique<target_selection>(
        State, pendingRequestFor("keyed"), Start));
    EXPECT_FALSE(Ahead.back()->decide(View, true, Start)) << Request;
  }
  pending_request Late = pendingRequestFor("keyed");
  Late.Priority = 1;
  target_selection Wait(State, Late, Start);
  try {
    Wait.decide(View, true, Start);
    FAIL() << "not refused";
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), error_kind::Overloaded);
    EXPECT_GE(Refusal.retryAfter(), milliseconds(200));
  }
}

//! What the near and the far target have said, and whether a request that can
//! wait 300 ms for either is refused without waiting.
struct notice_case {
  std::string Name;
  std::string Service;
  target_notice Near;
  target_notice Far;
  bool Refused;
};

void PrintTo(const notice_case &Case, std::ostream *Out) { *Out << Case.Name; }

class selection_after_notices
    : public target_selection_test,
      public testing::WithParamInterface<notice_case> {};

TEST_P(selection_after_notices, refuses_at_once_what_cannot_be_sent_in_time) {
  State.Notices.record(*Near, GetParam().Near, Start);
  State.Notices.record(*Far, GetParam().Far, Start);
  target_selection Wait(State, pendingRequestFor(GetParam().Service), Start);
  std::optional<pomelo_error> Refusal;
  try {
    EXPECT_FALSE(Wait.decide(View, true, Start));
  } catch (const pomelo_error &Caught) {
    Refusal = Caught;
  }
  ASSERT_EQ(Refusal.has_value(), GetParam().Refused);
  if (Refusal) {
    EXPECT_EQ(answerFor(Refusal->kind()).RunState, run_state::NotRun);
    EXPECT_GE(Refusal->retryAfter(), milliseconds(200));
  }
}

constexpr target_notice Leaving{true, {}};

constexpr target_notice quietFor(milliseconds Time) {
  return {false, target_selection::time_point{std::chrono::hours(1)} + Time};
}

INSTANTIATE_TEST_SUITE_P(
    each_notice, selection_after_notices,
    testing::Values(
        notice_case{
            "owner_quiet_for_long", "keyed", quietFor(seconds(9)), {}, true},
        notice_case{
            "owner_soon_back", "keyed", quietFor(milliseconds(90)), {}, false},
        notice_case{"owner_leaving", "keyed", Leaving, {}, false},
        notice_case{"all_quiet_for_long", "any", quietFor(seconds(9)),
                    quietFor(seconds(8)), true},
        notice_case{"one_soon_back", "any", quietFor(seconds(9)),
                    quietFor(milliseconds(90)), false},
        notice_case{"one_leaving_one_quiet", "any", Leaving,
                    quietFor(seconds(8)), true},
        // Another target may join at any moment.
        notice_case{"all_leaving", "any", Leaving, Leaving, false}),
    [](const auto &Case) { return Case.param.Name; });

TEST_F(target_selection_test, lets_the_more_urgent_go_first) {
  fill(milliseconds(100));
  pending_request LowPriority = pendingRequestFor("keyed");
  LowPriority.Priority = 2;
  target_selection First(State, LowPriority, Start);
  target_selection Urgent(State, pendingRequestFor("keyed"), Start);
  EXPECT_FALSE(First.decide(View, true, Start));
  EXPECT_FALSE(Urgent.decide(View, true, Start));
  for (int Request = 0; Request < 4; ++Request)
    State.Statistics.recordOutcome(*Near, send_outcome::Answered,
                                   milliseconds(100), Start);
  EXPECT_FALSE(First.decide(View, true, Start + milliseconds(20)));
  EXPECT_TRUE(Urgent.decide(View, true, Start + milliseconds(20)));
}

struct selection_case {
  std::string Name;
  bool Authoritative;
  std::uint64_t BodyBytes;
  std::vector<std::string> ExcludedTargets;
  std::string Target;
};

class selected_target : public target_selection_test,
                        public testing::WithParamInterface<selection_case> {};

//! The near target is slower, but by less time than a large body takes to cross
//! failure domains.
TEST_P(selected_target, weighs_latency_against_crossing_domains) {
  for (const auto &[Target, Latency] : {std::pair{Near, milliseconds(200)},
                                        std::pair{Far, milliseconds(100)}}) {
    State.Statistics.recordSend(*Target, Start - Latency);
    State.Statistics.recordOutcome(*Target, send_outcome::Answered, Latency,
                                   Start);
  }
  pending_request Pending = pendingRequestFor("any");
  Pending.BodyBytes = GetParam().BodyBytes;
  Pending.ExcludedTargets = GetParam().ExcludedTargets;
  target_selection Wait(State, Pending, Start);
  const auto Owner = Wait.decide(View, GetParam().Authoritative, Start);
  ASSERT_TRUE(Owner);
  EXPECT_EQ(Owner->Target->Member.TargetId, GetParam().Target);
}

INSTANTIATE_TEST_SUITE_P(
    each_way, selected_target,
    testing::Values(selection_case{"small_body", true, 0, {}, "far"},
                    selection_case{"large_body", true, 1000000, {}, "near"},
                    selection_case{"tried", true, 0, {"far"}, "near"},
                    selection_case{"cut_off", false, 0, {}, "near"}),
    [](const auto &Case) { return Case.param.Name; });

} // namespace
} // namespace pomelo
