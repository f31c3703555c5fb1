#include "pomeloswitch/state/slot_refinement.hpp"

#include "state_fixture.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

struct count_case {
  std::string Name;
  std::uint32_t SlotCount;
  std::size_t Targets;
  std::uint32_t KeySpace;
  std::optional<std::uint32_t> Wanted;
};

void PrintTo(const count_case &Case, std::ostream *Out) { *Out << Case.Name; }

class slot_count : public testing::TestWithParam<count_case> {};

// Guards against a change of the slots of services that have enough of them,
// and against slots that the key space cannot be divided into.
TEST_P(slot_count, follows_the_number_of_targets) {
  const count_case &Case = GetParam();
  EXPECT_EQ(wantedSlotCount(Case.SlotCount, Case.Targets, Case.KeySpace),
            Case.Wanted);
}

INSTANTIATE_TEST_SUITE_P(
    table, slot_count,
    testing::Values(count_case{"few_targets", 256, 20, 65536, {}},
                    count_case{"just_enough", 256, 64, 65536, {}},
                    count_case{"twice", 256, 65, 65536, 512},
                    count_case{"four_times", 256, 158, 65536, 1024},
                    count_case{"already_divided", 1024, 158, 65536, {}},
                    count_case{"largest", 256, 4000, 65536, 4096},
                    count_case{"hashed_keys", 256, 158, 0, {}},
                    count_case{"small_key_space", 256, 158, 512, 512},
                    count_case{"odd_key_space", 256, 158, 1000, {}}),
    [](const auto &Info) { return Info.param.Name; });

wire::command makeRefinement(std::uint32_t SlotCount) {
  wire::command Command;
  Command.mutable_refine_slots()->set_service("archive");
  Command.mutable_refine_slots()->set_slot_count(SlotCount);
  return Command;
}

wire::command makeGrant(std::uint32_t Slot, const std::string &Target) {
  wire::command Command;
  Command.mutable_grant_slots()->set_service("archive");
  auto *Grant = Command.mutable_grant_slots()->add_grants();
  Grant->set_slot(Slot);
  Grant->set_target_id(Target);
  return Command;
}

// Guards against a key that changes its owner or its token by a division, and
// against one that a later configuration or a restart undoes.
TEST(slot_refinement, changes_no_owner_and_stays) {
  test_cluster Driven;
  Driven.setInventory(testInventory(4));
  Driven.joinTarget(testTarget("t1", 1, true, 7001));
  Driven.apply(makeGrant(2, "t1"));
  const slot_ownership Before = Driven.slot(2);
  Driven.apply(makeRefinement(8));
  ASSERT_EQ(Driven.State.sharedSlots("archive")->size(), 8U);
  for (const std::uint32_t Part : {4U, 5U}) {
    EXPECT_EQ(Driven.slot(Part).Owner, "t1");
    EXPECT_EQ(Driven.slot(Part).Token, Before.Token);
    EXPECT_EQ(Driven.slot(Part).ChangedIndex, Before.ChangedIndex);
  }
  EXPECT_EQ(Driven.slot(3).Phase, slot_phase::Unowned);
  EXPECT_TRUE(Driven.setInventory(testInventory(4)).accepted());
  const auto Restored = cluster_state::fromSnapshot(Driven.State.toSnapshot());
  EXPECT_EQ(Restored.sharedSlots("archive")->size(), 8U);
  EXPECT_EQ(Restored.sharedSlots("archive")->at(5).Owner, "t1");
}

struct refused_refinement {
  std::string Name;
  std::uint32_t SlotCount;
  bool ChecksFence;
};

class invalid_refinement : public testing::TestWithParam<refused_refinement> {};

// Guards against slots that entry hosts, which know them by their numbers,
// count as quiesced while requests on them are in flight.
TEST_P(invalid_refinement, changes_nothing) {
  test_cluster Driven;
  Driven.setInventory(testInventory(4));
  Driven.joinTarget(testTarget("t1", 1, GetParam().ChecksFence, 7001));
  Driven.apply(makeGrant(2, "t1"));
  Driven.apply(makeRefinement(GetParam().SlotCount));
  EXPECT_EQ(Driven.State.sharedSlots("archive")->size(), 4U);
}

INSTANTIATE_TEST_SUITE_P(
    table, invalid_refinement,
    testing::Values(refused_refinement{"no_multiple", 6, true},
                    refused_refinement{"fewer", 2, true},
                    refused_refinement{"none", 0, true},
                    refused_refinement{"too_many", 8192, true},
                    refused_refinement{"owner_without_check", 8, false}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
