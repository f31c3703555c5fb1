#include "pomeloswitch/http/flight_table.hpp"

#include "pomeloswitch/routing/target_choice.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace pomelo {
namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr std::chrono::seconds Allowed{2};
constexpr std::chrono::milliseconds AfterMargin{2100};

//! A view at index 20 where slot 0 of "archive" was revoked at index 10.
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

struct end_case {
  std::string Name;
  bool ChecksFence;
  bool Settled;
  bool Destroyed;
  std::chrono::milliseconds After;
  bool Quiesced;
};

void PrintTo(const end_case &Case, std::ostream *Out) { *Out << Case.Name; }

class flight_end_of : public testing::TestWithParam<end_case> {};

TEST_P(flight_end_of, a_request_is_answer_or_deadline_unless_fenced) {
  const end_case &Case = GetParam();
  flight_table Table;
  const auto View = viewOf(slot_phase::Revoking, 7);
  flight_table::flight Flight(Table, "archive", 0, 7,
                              {!Case.ChecksFence, Start + Allowed});
  if (Case.Settled)
    Flight.settled();
  if (Case.Destroyed)
    const flight_table::flight Ended = std::move(Flight);
  EXPECT_EQ(Table.quiescedIndex(View, Start + Case.After),
            Case.Quiesced ? 20U : 9U);
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, flight_end_of,
    testing::Values(
        end_case{"running", false, false, false, AfterMargin, false},
        end_case{"broken_to_a_checking_target", true, false, true, {}, true},
        end_case{"answered", false, true, true, {}, true},
        end_case{"broken", false, false, true, {}, false},
        end_case{"broken_at_the_deadline", false, false, true, Allowed, false},
        end_case{"broken_past_the_deadline", false, false, true, AfterMargin,
                 true}));

struct resend_case {
  std::string Name;
  slot_phase Phase;
  std::uint64_t Token;
  bool May;
};

void PrintTo(const resend_case &Case, std::ostream *Out) { *Out << Case.Name; }

class chosen_owner : public testing::TestWithParam<resend_case> {};

TEST_P(chosen_owner, is_sent_to_only_while_the_slot_is_still_its_own) {
  const auto Earlier = viewOf(slot_phase::Active, 7);
  const slot_owner Owner{0, 7, Earlier.Targets.at("t1")};
  EXPECT_EQ(mayStillSend(viewOf(GetParam().Phase, GetParam().Token), "archive",
                         Owner),
            GetParam().May);
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, chosen_owner,
    testing::Values(resend_case{"active", slot_phase::Active, 7, true},
                    resend_case{"revoked", slot_phase::Revoking, 7, false},
                    resend_case{"granted_anew", slot_phase::Active, 8, false},
                    resend_case{"unowned", slot_phase::Unowned, 7, false}));

} // namespace
} // namespace pomelo
