#include "pomeloswitch/sending/subset_monitor.hpp"

#include "pomeloswitch/routing/target_ring.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pomelo {
namespace {

constexpr subset_monitor::time_point Start{std::chrono::hours(1)};
constexpr std::size_t Size = 8;

//! One of 40 hosts that use 8 of 40 targets each.
class observed_host {
public:
  observed_host() {
    for (unsigned Number = 0; Number < 40; ++Number) {
      auto Target = std::make_shared<routing_target>();
      Target->Member.TargetId = fmt::format("t{}", Number);
      Target->Member.Incarnation = 1;
      Target->Member.Service = "any";
      Service.Targets.push_back(Target);
    }
    Service.Name = "any";
    Service.Ring = makeTargetRing(Service.Targets);
    View.EntryHosts = 40;
    publish();
  }

  void publish() {
    View.Services["any"] = Service;
    View.Targets.clear();
    for (const auto &Target : Service.Targets)
      View.Targets[Target->Member.TargetId] = Target;
  }

  //! Replaces the target at the place of the ring by a changed copy.
  void change(std::size_t Place,
              const std::function<void(routing_target &)> &Change) {
    auto Changed = std::make_shared<routing_target>(*Service.Ring[Place]);
    Change(*Changed);
    for (auto *Targets : {&Service.Targets, &Service.Ring})
      std::replace(Targets->begin(), Targets->end(),
                   routing_target_ptr(Service.Ring[Place]),
                   routing_target_ptr(Changed));
    publish();
  }

  std::string idAt(std::size_t Place) const {
    return Service.Ring[Place]->Member.TargetId;
  }

  std::vector<subset_change> observe(std::chrono::milliseconds After) {
    return Monitor.observe(View, State, Start + After);
  }

  routing_service Service;
  routing_view View;
  send_state State;
  subset_monitor Monitor;
};

struct loss_case {
  std::string Name;
  std::function<void(observed_host &)> Lose; //!< The target at place 0.
  std::string Reason;
};

void PrintTo(const loss_case &Case, std::ostream *Out) { *Out << Case.Name; }

class lost_target : public testing::TestWithParam<loss_case> {};

// Guards against changes of the subset that operators cannot explain.
TEST_P(lost_target, is_reported_with_its_reason_and_its_replacement) {
  observed_host Host;
  EXPECT_EQ(Host.observe({}).size(), Size);
  EXPECT_TRUE(Host.observe({}).empty());
  const std::string Lost = Host.idAt(0);
  GetParam().Lose(Host);
  const auto Changes = Host.observe(std::chrono::milliseconds(10));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].Target, Lost);
  EXPECT_FALSE(Changes[0].Entered);
  EXPECT_EQ(nameOf(Changes[0].Reason), GetParam().Reason);
  EXPECT_EQ(Changes[1].Target, Host.idAt(Size));
  EXPECT_TRUE(Changes[1].Entered);
  EXPECT_EQ(nameOf(Changes[1].Reason), "replaces");
  EXPECT_EQ(Host.Monitor.sizes().at("any"), Size);
}

INSTANTIATE_TEST_SUITE_P(
    each_reason, lost_target,
    testing::Values(loss_case{"drained",
                              [](observed_host &Host) {
                                Host.change(0, [](routing_target &Target) {
                                  Target.AcceptsNewWork = false;
                                });
                              },
                              "accepts_no_work"},
                    loss_case{"leaving",
                              [](observed_host &Host) {
                                Host.State.Notices.record(*Host.Service.Ring[0],
                                                          {true, {}}, Start);
                              },
                              "unwanted"},
                    loss_case{"unreachable",
                              [](observed_host &Host) {
                                Host.State.Statistics.recordUnreachable(
                                    *Host.Service.Ring[0], Start);
                              },
                              "backed_off"}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a return that is taken for a change of the ring.
TEST(subset_monitor, reports_a_target_that_is_usable_again) {
  observed_host Host;
  Host.observe({});
  Host.State.Statistics.recordUnreachable(*Host.Service.Ring[0], Start);
  Host.observe(std::chrono::milliseconds(10));
  const auto Changes = Host.observe(std::chrono::seconds(30));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(nameOf(Changes[0].Reason), "ring");
  EXPECT_EQ(Changes[1].Target, Host.idAt(0));
  EXPECT_EQ(nameOf(Changes[1].Reason), "usable_again");
}

// Guards against log lines in deployments that have no subsets.
TEST(subset_monitor, is_silent_where_all_targets_are_used) {
  observed_host Host;
  Host.View.EntryHosts = 2;
  EXPECT_TRUE(Host.observe({}).empty());
  EXPECT_TRUE(Host.Monitor.sizes().empty());
}

} // namespace
} // namespace pomelo
