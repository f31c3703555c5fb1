#include "pomeloswitch/membership/member_planner.hpp"
#include "pomeloswitch/ownership/order_scheduler.hpp"
#include "pomeloswitch/ownership/slot_planner.hpp"

#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>

namespace pomelo {
namespace {

constexpr mono_time Start{std::chrono::hours(1)};
constexpr std::size_t SlotCount = 4;

//! A leader of the targets "t1" and "t2", which are ordered by calls and answer
//! every call at once. Both report until silence() is called for one of them.
class silent_called_target : public testing::Test {
protected:
  //! A target as its process sees itself: until when it may serve each slot.
  using held_slots = std::array<mono_time, SlotCount>;

  void SetUp() override {
    Driven.setInventory(testInventory(SlotCount));
    Driven.setRules(testRules(2000));
    Leases.startTerm(Driven.State, Now);
    Scheduler.startTerm(Driven.State, Now);
    for (const auto &[Id, Port] : {std::pair("t1", 7001), {"t2", 7002}}) {
      target_member Target = testTarget(Id, 1, true, Port);
      Target.OrderedByCall = true;
      Target.StartedMs = 1;
      Reporting[Id] = Target;
    }
  }

  void runFor(milliseconds Duration) {
    for (const mono_time End = Now + Duration; Now < End;
         Now += milliseconds(20))
      tick();
  }

  void tick() {
    for (const auto &[Id, Target] : Reporting)
      Leases.targetHeard({Target, 0, 0, Now}, Driven.State.index());
    for (const target_order &Order :
         Scheduler.dueOrders(Driven.State, Leases, Now))
      answer(Order);
    Scheduler.updateLeases(Driven.State, Leases, Now);
    Driven.applyAll(planMembership(Driven.State, Leases, Now));
    Driven.applyAll(Planner.plan(Driven.State, Leases, Loads, Now));
  }

  //! Ends the target's process. The next one, cold as it starts, answers calls
  //! at once but reports only after \p Unreported.
  void restart(const std::string &Id, milliseconds Unreported) {
    target_member Next = Reporting.at(Id);
    Next.Incarnation = ++Next.StartedMs;
    Next.Cold = true;
    Reporting.erase(Id);
    Held[Id] = {};
    runFor(Unreported);
    Reporting[Id] = Next;
  }

  void answer(const target_order &Order) {
    const bool Granting = Order.Kind == order_kind::Grant;
    for (auto Slot = Order.FirstSlot; Slot <= Order.LastSlot; ++Slot) {
      if (Granting)
        for (const auto &[Id, Slots] : Held)
          OverlappingGrants += Id != Order.TargetId && Slots[Slot] > Now;
      Held[Order.TargetId][Slot] =
          Granting ? Now + Order.GrantDuration : mono_time();
    }
    Scheduler.recordResult(Order, {order_outcome::Done, {}}, Now);
  }

  long slotsHeldBy(const std::string &Id) {
    const held_slots &Slots = Held[Id];
    return std::count_if(Slots.begin(), Slots.end(),
                         [this](mono_time Until) { return Until > Now; });
  }

  mono_time Now = Start;
  test_cluster Driven;
  lease_table Leases{lease_times()};
  load_table Loads;
  slot_planner Planner{planner_limits()};
  order_scheduler Scheduler{order_times()};
  std::map<std::string, target_member> Reporting;
  std::map<std::string, held_slots> Held;
  unsigned OverlappingGrants = 0;
};

TEST_F(silent_called_target, has_released_its_slots_before_another_gets_them) {
  runFor(milliseconds(1000));
  ASSERT_GT(slotsHeldBy("t1"), 0);
  Reporting.erase("t1");
  runFor(lease_times().CalledTargetTimeout + std::chrono::seconds(10));
  EXPECT_EQ(OverlappingGrants, 0U);
  EXPECT_EQ(slotsHeldBy("t2"), static_cast<long>(SlotCount));
  EXPECT_FALSE(Driven.State.targets().contains("t1"));
}

//! A renewal meant for the earlier process reaches the next one, which has the
//! same id and address and so takes the slots.
TEST_F(silent_called_target,
       keeps_what_its_earlier_process_was_granted_until_it_is_released) {
  runFor(milliseconds(1000));
  ASSERT_GT(slotsHeldBy("t1"), 0);
  restart("t1", order_times().RenewEvery + milliseconds(100));
  ASSERT_GT(slotsHeldBy("t1"), 0);
  runFor(milliseconds(1000));
  EXPECT_EQ(OverlappingGrants, 0U);
  EXPECT_EQ(slotsHeldBy("t2"), static_cast<long>(SlotCount));
}

} // namespace
} // namespace pomelo
