#include "pomeloswitch/http/in_flight_table.hpp"

#include "pomeloswitch/routing/target_choice.hpp"

#include <gtest/gtest.h>

#include <ostream>
#include <set>

namespace pomelo {
namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr std::chrono::seconds RequestTimeout{2};
constexpr std::chrono::milliseconds AfterTolerance{2100};

//! A view at index 20 in which slot 0 of "archive" last changed at index 10.
routing_view viewOf(slot_phase Phase, std::uint64_t Token) {
  routing_view View;
  View.Index = 20;
  auto Table = std::make_shared<slot_table>(1);
  (*Table)[0] = {"t1", Token, Phase, 10, 1, false};
  auto Target = std::make_shared<routing_target>();
  Target->Member.TargetId = "t1";
  Target->Member.Incarnation = 1;
  View.Targets["t1"] = Target;
  View.Services["archive"] = {"archive", Table, {Target}};
  return View;
}

struct completion_case {
  std::string Name;
  bool ChecksFence;
  bool Settled;
  bool Destroyed;
  std::chrono::milliseconds After;
  bool Quiesced;
};

void PrintTo(const completion_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class in_flight_request_completion
    : public testing::TestWithParam<completion_case> {};

TEST_P(in_flight_request_completion,
       needs_a_response_or_the_deadline_unless_fenced) {
  const completion_case &Case = GetParam();
  in_flight_table Table;
  const auto View = viewOf(slot_phase::Revoking, 7);
  in_flight_table::in_flight_request InFlight(
      Table, "archive", 0, 7, {!Case.ChecksFence, Start + RequestTimeout});
  if (Case.Settled)
    InFlight.markSettled();
  if (Case.Destroyed)
    const in_flight_table::in_flight_request Ended = std::move(InFlight);
  EXPECT_EQ(Table.quiescedIndex(View, Start + Case.After),
            Case.Quiesced ? 20U : 9U);
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, in_flight_request_completion,
    testing::Values(
        completion_case{"running", false, false, false, AfterTolerance, false},
        completion_case{
            "broken_to_a_checking_target", true, false, true, {}, true},
        completion_case{"answered", false, true, true, {}, true},
        completion_case{"broken", false, false, true, {}, false},
        completion_case{"broken_at_the_deadline", false, false, true,
                        RequestTimeout, false},
        completion_case{"broken_past_the_deadline", false, false, true,
                        AfterTolerance, true}));

struct send_case {
  std::string Name;
  slot_phase Phase;
  std::uint64_t Token;
  bool MaySend;
};

void PrintTo(const send_case &Case, std::ostream *Out) { *Out << Case.Name; }

class chosen_owner : public testing::TestWithParam<send_case> {};

TEST_P(chosen_owner, is_sent_to_only_while_the_slot_is_still_its_own) {
  const auto Earlier = viewOf(slot_phase::Active, 7);
  const slot_owner Owner{0, 7, Earlier.Targets.at("t1"), 1};
  EXPECT_EQ(mayStillSend(viewOf(GetParam().Phase, GetParam().Token), "archive",
                         Owner),
            GetParam().MaySend);
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, chosen_owner,
    testing::Values(send_case{"active", slot_phase::Active, 7, true},
                    send_case{"revoked", slot_phase::Revoking, 7, false},
                    send_case{"granted_anew", slot_phase::Active, 8, false},
                    send_case{"unowned", slot_phase::Unowned, 7, false}));

struct division_case {
  std::string Name;
  std::set<std::size_t> Revoked; //!< Of the four parts.
  bool MaySend;
};

void PrintTo(const division_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class owner_of_a_divided_slot : public testing::TestWithParam<division_case> {};

// Guards against a request that goes to a former owner of its key, or is held
// up for a key of another, since after a division the number of its slot names
// other keys.
TEST_P(owner_of_a_divided_slot, is_sent_to_while_it_has_all_parts) {
  auto View = viewOf(slot_phase::Active, 7);
  // Two slots, granted to two targets by one command, were divided in two.
  auto Table = std::make_shared<slot_table>(4, slot_ownership{});
  for (std::size_t Part = 0; Part < Table->size(); ++Part)
    (*Table)[Part] = {Part < 2 ? "t0" : "t1",
                      7,
                      GetParam().Revoked.contains(Part) ? slot_phase::Revoking
                                                        : slot_phase::Active,
                      10,
                      1,
                      true};
  View.Services["archive"].Slots = Table;
  const slot_owner Chosen{1, 7, View.Targets.at("t1"), 2};
  EXPECT_EQ(mayStillSend(View, "archive", Chosen), GetParam().MaySend);
}

INSTANTIATE_TEST_SUITE_P(
    each_part, owner_of_a_divided_slot,
    testing::Values(division_case{"none_revoked", {}, true},
                    division_case{"others_slot_revoked", {0, 1}, true},
                    division_case{"first_part_revoked", {2}, false},
                    division_case{"last_part_revoked", {3}, false}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
