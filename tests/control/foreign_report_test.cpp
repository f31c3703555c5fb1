//! Reports of writers that are no targets of this deployment.
#include "control/control_host_fixture.hpp"
#include "state/state_fixture.hpp"

#include <functional>

namespace pomelo {
namespace {

struct foreign_report_case {
  std::string Name;
  //! Makes the report out of that of a member.
  std::function<void(target_member &)> Change;
};

void PrintTo(const foreign_report_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class foreign_report_fixture : public control_host_fixture {
protected:
  foreign_report_fixture() : Target(testTarget("t1", 7, true, 4001)) {
    Target.StartedMs = Target.Incarnation;
    Target.OrderedByCall = true;
  }
  ~foreign_report_fixture() override { Control->stop(); }

  void setInventory() {
    wire::command Command;
    Command.mutable_set_inventory()->set_json(testInventory(4));
    bool Done = false;
    Control->proposeChange(Command, [&Done](const apply_result &Result, auto) {
      Done = Result.accepted();
    });
    ASSERT_TRUE(runUntil([&Done] { return Done; }));
  }
  void report(const target_member &Announced, std::uint64_t Sequence) {
    target_status Status;
    Status.Announced = Announced;
    Status.Sequence = Sequence;
    EXPECT_TRUE(Control->targetHeard(std::move(Status)));
  }
  [[nodiscard]] const target_map &targets() const {
    return Control->state().targets();
  }
  //! Lets the host plan and apply what follows from the reports.
  void runFor(std::chrono::milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End)
      Io.run_one_until(End);
  }

  target_member Target;
};

class foreign_report : public foreign_report_fixture,
                       public testing::WithParamInterface<foreign_report_case> {
};

// Guards against reports that take away a member that is up, so that its keys
// get a second owner (OWNER, issue 37).
TEST_P(foreign_report, leaves_the_member_in_its_place) {
  setInventory();
  report(Target, 1);
  ASSERT_TRUE(runUntil([this] { return targets().contains("t1"); }));
  target_member Foreign = Target;
  GetParam().Change(Foreign);
  report(Foreign, 2);
  runFor(std::chrono::milliseconds(300));
  ASSERT_EQ(targets().size(), 1U);
  EXPECT_EQ(targets().at("t1").Incarnation, Target.Incarnation);
  EXPECT_EQ(targets().at("t1").Address, Target.Address);
  EXPECT_FALSE(targets().at("t1").Leaving);
  // The member's own reports still count.
  Target.Leaving = true;
  report(Target, 2);
  EXPECT_TRUE(runUntil([this] { return targets().at("t1").Leaving; }));
}

INSTANTIATE_TEST_SUITE_P(
    table, foreign_report,
    testing::Values(
        foreign_report_case{"unknown_service_at_its_address",
                            [](target_member &Foreign) {
                              Foreign.TargetId = "x1";
                              Foreign.Service = "agent";
                              Foreign.StartedMs = ++Foreign.Incarnation;
                            }},
        foreign_report_case{"unknown_service_under_its_id",
                            [](target_member &Foreign) {
                              Foreign.Service = "agent";
                              Foreign.Address = "127.0.0.1:4002";
                              Foreign.StartedMs = ++Foreign.Incarnation;
                            }},
        foreign_report_case{"unknown_service_under_its_id_and_start",
                            [](target_member &Foreign) {
                              Foreign.Service = "agent";
                              Foreign.Leaving = true;
                            }},
        foreign_report_case{"another_address_under_its_id_and_start",
                            [](target_member &Foreign) {
                              Foreign.Address = "127.0.0.1:4002";
                              Foreign.Leaving = true;
                            }},
        foreign_report_case{"an_earlier_start_under_its_id",
                            [](target_member &Foreign) {
                              Foreign.StartedMs = --Foreign.Incarnation;
                              Foreign.Leaving = true;
                            }}),
    [](const auto &Info) { return Info.param.Name; });

using early_report = foreign_report_fixture;

TEST_F(early_report, counts_once_its_service_is_in_force) {
  report(Target, 1);
  runFor(std::chrono::milliseconds(300));
  EXPECT_TRUE(targets().empty());
  setInventory();
  EXPECT_TRUE(runUntil([this] { return targets().contains("t1"); }));
}

} // namespace
} // namespace pomelo
