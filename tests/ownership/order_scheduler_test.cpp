#include "pomeloswitch/ownership/order_scheduler.hpp"

#include "pomeloswitch/state/target_codec.hpp"
#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace pomelo {
namespace {

constexpr mono_time Start{std::chrono::hours(1)};

//! A leader of a service with 4 slots, all granted to target "t1", which is
//! ordered by calls. Some tests add a second target "t2". Tests grant and
//! revoke slots themselves instead of running the planner.
class order_scheduling : public testing::Test {
protected:
  void SetUp() override {
    Driven.setInventory(testInventory(4));
    Driven.setRules(testRules(2000));
    Leases.startTerm(Driven.State, Now);
    Scheduler.startTerm(Driven.State, Now);
    join("t1", 1);
    grant("t1", {0, 1, 2, 3});
  }

  void join(const std::string &Id, std::uint64_t Started) {
    target_member Target = testTarget(Id, Started, true, 7000);
    wire::command Command;
    auto *Joined = Command.mutable_target_joined();
    Joined->set_target_id(Id);
    Joined->set_incarnation(Started);
    Joined->set_service("archive");
    Joined->set_failure_domain("a");
    Joined->set_address(Id == "t1" ? "127.0.0.1:7001" : "127.0.0.1:7002");
    Joined->set_slots(2);
    Joined->set_checks_fence(true);
    Joined->set_ordered_by_call(true);
    Joined->set_started_unix_ms(Started);
    Driven.apply(Command);
    announce(Id);
  }
  void announce(const std::string &Id) {
    target_status Status;
    Status.Announced = Driven.State.targets().at(Id);
    Status.HeardAt = Now;
    Leases.targetHeard(Status, Driven.State.index());
  }
  void grant(const std::string &Id, const std::vector<std::uint32_t> &Slots) {
    wire::command Command;
    Command.mutable_grant_slots()->set_service("archive");
    for (const auto Slot : Slots) {
      auto *Grant = Command.mutable_grant_slots()->add_grants();
      Grant->set_slot(Slot);
      Grant->set_target_id(Id);
      Grant->set_since_index(Driven.slot(Slot).ChangedIndex);
    }
    Driven.apply(Command);
  }
  void revoke(const std::vector<std::uint32_t> &Slots) {
    wire::command Command;
    Command.mutable_revoke_slots()->set_service("archive");
    for (const auto Slot : Slots)
      Command.mutable_revoke_slots()->add_slots(Slot);
    Driven.apply(Command);
  }

  void replaceConfiguration(std::uint64_t Number, const std::string &Inventory,
                            const std::string &Rules) {
    wire::command Command;
    auto *Change = Command.mutable_replace_configuration();
    Change->set_number(Number);
    Change->set_inventory_json(Inventory);
    Change->set_rules_json(Rules);
    EXPECT_EQ(Driven.apply(Command).Message, "");
  }

  std::vector<target_order> dueOrders() {
    return Scheduler.dueOrders(Driven.State, Leases, Now);
  }
  void answer(const target_order &Order, order_outcome Outcome,
              const std::string &Handover = {}) {
    Scheduler.recordResult(Order, {Outcome, Handover}, Now);
  }
  //! Returns the releases that are due; due grants are answered as done.
  std::vector<target_order> releasesDue() {
    std::vector<target_order> Releases;
    for (const target_order &Order : dueOrders())
      if (Order.Kind == order_kind::Release)
        Releases.push_back(Order);
      else
        answer(Order, order_outcome::Done);
    return Releases;
  }
  target_order only(const std::vector<target_order> &Orders) {
    EXPECT_EQ(Orders.size(), 1U);
    return Orders.empty() ? target_order() : Orders.front();
  }
  std::uint64_t takenIndexOf(const std::string &Id) {
    Scheduler.updateLeases(Driven.State, Leases, Now);
    return Leases.takenIndex(Driven.State.targets().at(Id));
  }
  bool released(const std::string &Id, std::uint32_t Slot) {
    Scheduler.updateLeases(Driven.State, Leases, Now);
    return Leases.slotReleased(Driven.State.targets().at(Id), "archive", Slot,
                               Driven.slot(Slot).ChangedIndex);
  }

  mono_time Now = Start;
  test_cluster Driven;
  lease_table Leases{lease_times()};
  order_scheduler Scheduler{order_times()};
};

TEST_F(order_scheduling, covers_neighbours_with_one_call) {
  const target_order Order = only(dueOrders());
  EXPECT_EQ(Order.Kind, order_kind::Grant);
  EXPECT_EQ(Order.FirstSlot, 0U);
  EXPECT_EQ(Order.LastSlot, 3U);
  EXPECT_TRUE(dueOrders().empty());
}

TEST_F(order_scheduling, counts_a_grant_as_taken_once_it_is_answered) {
  const target_order Order = only(dueOrders());
  EXPECT_LT(takenIndexOf("t1"), Driven.slot(0).ChangedIndex);
  answer(Order, order_outcome::Done);
  EXPECT_GE(takenIndexOf("t1"), Driven.slot(0).ChangedIndex);
}

TEST_F(order_scheduling, renews_a_grant_before_it_expires) {
  answer(only(dueOrders()), order_outcome::Done);
  Now += order_times().RenewEvery;
  EXPECT_EQ(only(dueOrders()).Token, Driven.slot(0).Token);
}

TEST_F(order_scheduling, releases_what_is_revoked_and_passes_the_handover_on) {
  answer(only(dueOrders()), order_outcome::Done);
  revoke({1, 2});
  auto Orders = dueOrders();
  const auto Release =
      std::find_if(Orders.begin(), Orders.end(), [](const auto &Order) {
        return Order.Kind == order_kind::Release;
      });
  ASSERT_NE(Release, Orders.end());
  EXPECT_EQ(Release->FirstSlot, 1U);
  EXPECT_EQ(Release->LastSlot, 2U);
  EXPECT_FALSE(released("t1", 1));
  answer(*Release, order_outcome::Done, "secret");
  EXPECT_TRUE(released("t1", 1));
  join("t2", 2);
  grant("t2", {1, 2});
  Orders = dueOrders();
  const auto Next =
      std::find_if(Orders.begin(), Orders.end(),
                   [](const auto &Order) { return Order.TargetId == "t2"; });
  ASSERT_NE(Next, Orders.end());
  EXPECT_EQ(Next->Handover, "secret");
}

//! While the release of a slot waits for its target's work to end, an adjacent
//! slot is revoked and both are released by a second call, whose answer arrives
//! after the slot is granted to its next owner.
TEST_F(order_scheduling, ignores_a_late_release_answer_of_an_earlier_owner) {
  answer(only(dueOrders()), order_outcome::Done);
  join("t2", 5);
  revoke({3});
  const auto First = releasesDue();
  ASSERT_EQ(First.size(), 1U);
  revoke({2});
  const auto Both = releasesDue();
  ASSERT_EQ(Both.size(), 1U);
  ASSERT_EQ(Both.front().FirstSlot, 2U);
  ASSERT_EQ(Both.front().LastSlot, 3U);
  answer(First.front(), order_outcome::Done);
  grant("t2", {3});
  releasesDue(); // Grants slot 3. The release of slot 2 may be repeated.
  answer(Both.front(), order_outcome::Done, "old");
  revoke({3});
  EXPECT_FALSE(released("t2", 3));
  const auto Next = releasesDue();
  ASSERT_EQ(Next.size(), 1U);
  answer(Next.front(), order_outcome::Done, "new");
  EXPECT_TRUE(released("t2", 3));
}

//! A slot whose release is answered can be granted again while other slots of
//! the same owner still wait for their grants to expire.
TEST_F(order_scheduling,
       counts_each_slot_as_released_once_its_own_release_is_done) {
  answer(only(dueOrders()), order_outcome::Done);
  revoke({0, 2});
  const auto Releases = releasesDue();
  ASSERT_EQ(Releases.size(), 2U);
  answer(Releases.front(), order_outcome::Done);
  answer(Releases.back(), order_outcome::Unreachable);
  EXPECT_TRUE(released("t1", 0));
  EXPECT_FALSE(released("t1", 2));
}

TEST_F(order_scheduling, holds_a_release_back_while_a_grant_is_under_way) {
  const target_order Grant = only(dueOrders());
  revoke({0, 1, 2, 3});
  EXPECT_TRUE(dueOrders().empty());
  answer(Grant, order_outcome::Done);
  EXPECT_EQ(only(dueOrders()).Kind, order_kind::Release);
  EXPECT_FALSE(released("t1", 0));
}

struct outcome_case {
  std::string Name;
  order_outcome Outcome;
  bool MayServe; //!< Whether the target may serve the slots afterwards.
};

void PrintTo(const outcome_case &Case, std::ostream *Out) { *Out << Case.Name; }

class grant_with_outcome : public order_scheduling,
                           public testing::WithParamInterface<outcome_case> {};

TEST_P(grant_with_outcome, counts_until_it_has_certainly_expired) {
  answer(only(dueOrders()), GetParam().Outcome);
  revoke({0, 1, 2, 3});
  // The release is lost as well, so the slots are released only by expiry.
  for (const target_order &Order : dueOrders())
    answer(Order, order_outcome::NoAnswer);
  EXPECT_EQ(released("t1", 0), !GetParam().MayServe);
  Now += order_times().GrantDuration + milliseconds(300);
  EXPECT_TRUE(released("t1", 0));
}

INSTANTIATE_TEST_SUITE_P(
    each_outcome, grant_with_outcome,
    testing::Values(
        outcome_case{"done", order_outcome::Done, true},
        outcome_case{"no_answer", order_outcome::NoAnswer, true},
        outcome_case{"broken", order_outcome::ConnectionBroken, true},
        outcome_case{"unreachable", order_outcome::Unreachable, false},
        outcome_case{"not_done", order_outcome::NotDone, false}),
    [](const auto &Info) { return Info.param.Name; });

TEST_F(order_scheduling, does_not_treat_a_refused_connection_as_a_release) {
  answer(only(dueOrders()), order_outcome::Done);
  Now += order_times().RenewEvery;
  answer(only(dueOrders()), order_outcome::Unreachable);
  Scheduler.updateLeases(Driven.State, Leases, Now);
  EXPECT_FALSE(Leases.mayKeepSlots(Driven.State.targets().at("t1"), Now));
  revoke({0, 1, 2, 3});
  EXPECT_FALSE(released("t1", 0));
}

TEST_F(order_scheduling, counts_an_unanswered_grant_despite_a_release) {
  answer(only(dueOrders()), order_outcome::NoAnswer);
  revoke({0, 1, 2, 3});
  answer(only(dueOrders()), order_outcome::Done);
  EXPECT_FALSE(released("t1", 0));
}

TEST_F(order_scheduling,
       stops_granting_to_a_process_that_may_have_been_replaced) {
  answer(only(dueOrders()), order_outcome::ConnectionBroken);
  Now += order_times().RenewEvery;
  EXPECT_TRUE(dueOrders().empty());
}

//! A call that the earlier leader began just before the term may arrive until
//! it times out.
TEST_F(order_scheduling, counts_what_an_earlier_leader_may_have_granted) {
  const order_times Times;
  const milliseconds Held(static_cast<milliseconds::rep>(
      static_cast<double>(Times.GrantDuration.count()) *
      (1.0 + Times.MaxClockDrift)));
  Scheduler.startTerm(Driven.State, Now);
  revoke({0, 1, 2, 3});
  EXPECT_FALSE(released("t1", 0));
  Now += Times.CallTimeout + Times.InTransit + Held;
  EXPECT_FALSE(released("t1", 0));
  Now += milliseconds(1);
  EXPECT_TRUE(released("t1", 0));
}

//! The earlier leader granted slots just before a configuration removed their
//! service, which a later one adds again.
TEST_F(order_scheduling, counts_earlier_grants_of_a_service_that_is_removed) {
  const auto WithOther = [](std::string Json) {
    return Json.replace(Json.find("archive"), 7, "other");
  };
  replaceConfiguration(1, WithOther(testInventory(4)),
                       WithOther(testRules(2000)));
  Scheduler.startTerm(Driven.State, Now);
  replaceConfiguration(2, testInventory(4), testRules(2000));
  revoke({0, 1, 2, 3});
  EXPECT_FALSE(released("t1", 0));
}

//! An answer may arrive after the service was given another number of slots.
TEST_F(order_scheduling, forgets_no_grant_because_of_a_call_with_fewer_slots) {
  const target_order Current = only(dueOrders());
  target_order Earlier = Current;
  Earlier.SlotCount = 2;
  Earlier.LastSlot = 1;
  Earlier.Token = 0;
  answer(Current, order_outcome::Done);
  answer(Earlier, order_outcome::NoAnswer);
  dueOrders();
  revoke({0, 1, 2, 3});
  for (const target_order &Order : dueOrders())
    answer(Order, order_outcome::NoAnswer);
  EXPECT_FALSE(released("t1", 3));
}

// ---- a new term with many targets ------------------------------------------

//! A leader that made all its calls at once would answer no heartbeat meanwhile
//! and lose its leadership again.
TEST(new_term, spreads_its_first_calls_over_time) {
  constexpr unsigned TargetCount = 200;
  test_cluster Driven;
  Driven.setInventory(testInventory(TargetCount));
  mono_time Now = Start;
  lease_table Leases{lease_times()};
  Leases.startTerm(Driven.State, Now);
  for (unsigned Number = 0; Number < TargetCount; ++Number) {
    wire::command Command;
    const target_member Target =
        testTarget(fmt::format("t{}", Number), 1, true, 10000 + Number);
    *Command.mutable_target_joined() = toMessage(Target);
    Command.mutable_target_joined()->set_ordered_by_call(true);
    Driven.apply(Command);
    Command.mutable_grant_slots()->set_service("archive");
    auto *Grant = Command.mutable_grant_slots()->add_grants();
    Grant->set_slot(Number);
    Grant->set_target_id(Target.TargetId);
    Driven.apply(Command);
  }
  order_scheduler Scheduler{order_times()};
  Scheduler.startTerm(Driven.State, Now);
  constexpr milliseconds Tick{20};
  std::size_t Most = 0;
  std::set<std::string> Called;
  // Grants of the earlier term are renewed well before they run out.
  for (; Now < Start + order_times().GrantDuration / 2; Now += Tick) {
    const auto Orders = Scheduler.dueOrders(Driven.State, Leases, Now);
    Most = std::max(Most, Orders.size());
    for (const target_order &Order : Orders) {
      Called.insert(Order.TargetId);
      Scheduler.recordResult(Order, {order_outcome::Done, {}}, Now);
    }
  }
  EXPECT_LE(Most, TargetCount / 4);
  EXPECT_EQ(Called.size(), TargetCount);
}

} // namespace
} // namespace pomelo
