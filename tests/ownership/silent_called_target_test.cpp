#include "pomeloswitch/membership/member_planner.hpp"
#include "pomeloswitch/ownership/order_scheduler.hpp"
#include "pomeloswitch/ownership/slot_planner.hpp"
#include "pomeloswitch/state/target_codec.hpp"

#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

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
    for (const target_member &Foreign : ForeignReports)
      Leases.targetHeard({Foreign, 0, 0, Now}, Driven.State.index());
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
    if (Ended.contains(Order.TargetId)) {
      Scheduler.recordResult(Order, {order_outcome::ProcessEnded, {}}, Now);
      return;
    }
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
  //! Reports of writers that are no targets.
  std::vector<target_member> ForeignReports;
  //! Targets whose address another process uses, which says so.
  std::set<std::string> Ended;
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

struct foreign_claim {
  std::string Name;
  std::string TargetId;
  unsigned Port;
};

void PrintTo(const foreign_claim &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class claimed_member : public silent_called_target,
                       public testing::WithParamInterface<foreign_claim> {
protected:
  //! A whole report with a later start than that of "t1".
  [[nodiscard]] target_member claim() const {
    target_member Foreign = Reporting.at("t1");
    Foreign.TargetId = GetParam().TargetId;
    Foreign.Address = fmt::format("127.0.0.1:{}", GetParam().Port);
    Foreign.Incarnation = Foreign.StartedMs = 2;
    return Foreign;
  }
};

// Guards against a report that takes the address or id of a target that is up
// and holds keys, which then get a second owner (OWNER, review/6).
TEST_P(claimed_member, stays_a_member_while_it_holds_slots) {
  runFor(milliseconds(1000));
  ASSERT_GT(slotsHeldBy("t1"), 0);
  ForeignReports = {claim()};
  runFor(milliseconds(5000));
  EXPECT_EQ(OverlappingGrants, 0U);
  EXPECT_GT(slotsHeldBy("t1"), 0);
  EXPECT_GT(slotsHeldBy("t2"), 0);
  ASSERT_EQ(Driven.State.targets().size(), 2U);
  EXPECT_EQ(Driven.State.targets().at("t1").Incarnation, 1U);
}

class displaced_target : public silent_called_target,
                         public testing::WithParamInterface<bool> {};

// Guards against granting the slots of a target that was displaced while it
// holds them, also by the next leader (OWNER, review/6).
TEST_P(displaced_target, keeps_its_slots_until_its_grants_have_expired) {
  runFor(milliseconds(1000));
  ASSERT_GT(slotsHeldBy("t1"), 0);
  target_member Foreign = Reporting.at("t1");
  Foreign.TargetId = "x1";
  Foreign.Incarnation = Foreign.StartedMs = 2;
  Reporting.erase("t1");
  Reporting["x1"] = Foreign;
  wire::command Join;
  *Join.mutable_target_joined() = toMessage(Foreign);
  Driven.apply(Join);
  ASSERT_FALSE(Driven.State.targets().contains("t1"));
  if (GetParam())
    Scheduler.startTerm(Driven.State, Now);
  runFor(milliseconds(5000));
  EXPECT_EQ(OverlappingGrants, 0U);
  EXPECT_EQ(slotsHeldBy("t1"), 0);
  EXPECT_EQ(slotsHeldBy("t2") + slotsHeldBy("x1"),
            static_cast<long>(SlotCount));
}

INSTANTIATE_TEST_SUITE_P(table, displaced_target, testing::Bool(),
                         [](const auto &Info) {
                           return Info.param ? "next_leader" : "same_leader";
                         });

INSTANTIATE_TEST_SUITE_P(
    table, claimed_member,
    testing::Values(foreign_claim{"its_address", "x1", 7001},
                    foreign_claim{"its_id", "t1", 7003},
                    foreign_claim{"its_id_and_another_members_address", "t1",
                                  7002}),
    [](const auto &Info) { return Info.param.Name; });

struct successor_case {
  std::string Name;
  bool SaysSo; //!< It refuses the orders that are meant for the earlier one.
  milliseconds Longest;
};

void PrintTo(const successor_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class successor_at_an_address
    : public silent_called_target,
      public testing::WithParamInterface<successor_case> {};

// Guards against a restarted target that is kept out because its address is
// known as that of a member.
TEST_P(successor_at_an_address, joins_once_the_earlier_process_has_ended) {
  runFor(milliseconds(1000));
  target_member Next = Reporting.at("t1");
  Next.TargetId = "t3";
  Next.Incarnation = Next.StartedMs = 2;
  Reporting.erase("t1");
  Reporting["t3"] = Next;
  if (GetParam().SaysSo)
    Ended.insert("t1");
  runFor(GetParam().Longest);
  EXPECT_TRUE(Driven.State.targets().contains("t3"));
  EXPECT_FALSE(Driven.State.targets().contains("t1"));
  runFor(milliseconds(3000));
  EXPECT_GT(slotsHeldBy("t3"), 0);
}

INSTANTIATE_TEST_SUITE_P(
    table, successor_at_an_address,
    testing::Values(successor_case{"refuses_orders_for_another", true,
                                   order_times().RenewEvery +
                                       milliseconds(100)},
                    successor_case{"takes_orders_for_another", false,
                                   lease_times().CalledTargetMaxSilence +
                                       milliseconds(100)}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
