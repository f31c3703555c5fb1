#include "pomeloswitch/sending/target_wait.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <gtest/gtest.h>

#include <memory>

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

//! A host in the domain "here"; service "any" has a near and a far target, and
//! "keyed" one slot of the near one.
class target_waiting : public testing::Test {
protected:
  target_waiting() {
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
  static send_wish wishFor(const std::string &Service) {
    send_wish Wish;
    Wish.Service = Service;
    if (Service == "keyed")
      Wish.Key = "k";
    Wish.Deadline = Start + seconds(2);
    Wish.Aim = milliseconds(500);
    return Wish;
  }
  //! Has the near target take all that it can, \p Took each.
  void fill(milliseconds Took) {
    State.Book.sent(*Near, Start - Took);
    State.Book.ended(*Near, send_end::Answered, Took, Start);
    for (int Request = 0; Request < 4; ++Request)
      State.Book.sent(*Near, Start);
  }

  static constexpr target_wait::time_point Start{std::chrono::hours(1)};
  const routing_target_ptr Near = makeTarget("near", "here");
  const routing_target_ptr Far = makeTarget("far", "there");
  send_state State;
  routing_view View;
};

TEST_F(target_waiting, names_the_owner_of_a_key_at_once) {
  target_wait Wait(State, wishFor("keyed"), Start);
  const auto Owner = Wait.decide(View, true, Start);
  ASSERT_TRUE(Owner);
  EXPECT_EQ(Owner->Target, Near);
  EXPECT_EQ(Owner->Token, 3U);
  EXPECT_EQ(Wait.slot(), 0U);
}

TEST_F(target_waiting, waits_for_an_owner_and_goes_to_it) {
  setOwner(slot_phase::Revoking);
  target_wait Wait(State, wishFor("keyed"), Start);
  EXPECT_FALSE(Wait.decide(View, true, Start));
  setOwner(slot_phase::Active);
  EXPECT_TRUE(Wait.decide(View, true, Start + milliseconds(100)));
}

struct refusal_case {
  std::string Name;
  std::string Service;
  slot_phase Phase;
  bool InTouch;
  bool Full;
  milliseconds After;
  error_kind Kind;
};

class refused_wait : public target_waiting,
                     public testing::WithParamInterface<refusal_case> {};

TEST_P(refused_wait, tells_why_and_that_nothing_ran) {
  const refusal_case &Case = GetParam();
  setOwner(Case.Phase);
  if (Case.Full)
    fill(milliseconds(200));
  send_wish Wish = wishFor(Case.Service);
  if (Case.Service == "any")
    Wish.Tried = {"near", "far"};
  target_wait Wait(State, Wish, Start);
  if (Case.After > milliseconds(0))
    EXPECT_FALSE(Wait.decide(View, Case.InTouch, Start));
  try {
    Wait.decide(View, Case.InTouch, Start + Case.After);
    FAIL() << "not refused";
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), Case.Kind);
    EXPECT_EQ(answerFor(Refusal.kind()).RunState, run_state::NotRun);
  }
}

INSTANTIATE_TEST_SUITE_P(
    each_reason, refused_wait,
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

TEST_F(target_waiting, refuses_at_once_where_its_turn_would_come_too_late) {
  fill(milliseconds(400));
  std::vector<std::unique_ptr<target_wait>> Ahead;
  for (int Request = 0; Request < 2; ++Request) {
    Ahead.push_back(
        std::make_unique<target_wait>(State, wishFor("keyed"), Start));
    EXPECT_FALSE(Ahead.back()->decide(View, true, Start)) << Request;
  }
  send_wish Late = wishFor("keyed");
  Late.Priority = 1;
  target_wait Wait(State, Late, Start);
  try {
    Wait.decide(View, true, Start);
    FAIL() << "not refused";
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), error_kind::Overloaded);
    EXPECT_GE(Refusal.retryAfter(), milliseconds(200));
  }
}

TEST_F(target_waiting, lets_the_more_urgent_go_first) {
  fill(milliseconds(100));
  send_wish Lesser = wishFor("keyed");
  Lesser.Priority = 2;
  target_wait First(State, Lesser, Start);
  target_wait Urgent(State, wishFor("keyed"), Start);
  EXPECT_FALSE(First.decide(View, true, Start));
  EXPECT_FALSE(Urgent.decide(View, true, Start));
  for (int Request = 0; Request < 4; ++Request)
    State.Book.ended(*Near, send_end::Answered, milliseconds(100), Start);
  EXPECT_FALSE(First.decide(View, true, Start + milliseconds(20)));
  EXPECT_TRUE(Urgent.decide(View, true, Start + milliseconds(20)));
}

struct place_case {
  std::string Name;
  bool InTouch;
  std::uint64_t BodyBytes;
  std::vector<std::string> Tried;
  std::string Target;
};

class chosen_place : public target_waiting,
                     public testing::WithParamInterface<place_case> {};

//! The near target is slower, by less than a large body takes to cross.
TEST_P(chosen_place, weighs_speed_against_the_way) {
  for (const auto &[Target, Took] : {std::pair{Near, milliseconds(200)},
                                     std::pair{Far, milliseconds(100)}}) {
    State.Book.sent(*Target, Start - Took);
    State.Book.ended(*Target, send_end::Answered, Took, Start);
  }
  send_wish Wish = wishFor("any");
  Wish.BodyBytes = GetParam().BodyBytes;
  Wish.Tried = GetParam().Tried;
  target_wait Wait(State, Wish, Start);
  const auto Owner = Wait.decide(View, GetParam().InTouch, Start);
  ASSERT_TRUE(Owner);
  EXPECT_EQ(Owner->Target->Member.TargetId, GetParam().Target);
}

INSTANTIATE_TEST_SUITE_P(
    each_way, chosen_place,
    testing::Values(place_case{"small_body", true, 0, {}, "far"},
                    place_case{"large_body", true, 1000000, {}, "near"},
                    place_case{"tried", true, 0, {"far"}, "near"},
                    place_case{"cut_off", false, 0, {}, "near"}),
    [](const auto &Case) { return Case.param.Name; });

} // namespace
} // namespace pomelo
