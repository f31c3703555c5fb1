#include "pomeloswitch/membership/in_force.hpp"

#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace pomelo {
namespace {

constexpr mono_time Start{std::chrono::hours(1)};
constexpr milliseconds LeaseOver = lease_times().HostLease + milliseconds(20);
constexpr milliseconds IsolationOver =
    lease_times().HostLease +
    milliseconds(30400); //!< Lease, isolation and drift.

//! One entry host, last heard at Start; the change is at index 10.
struct behind_case {
  std::string Name;
  std::uint64_t AppliedIndex;
  bool Replaced; //!< Incarnation 2 follows one last heard at Start.
  isolated_service Isolated;
  milliseconds After;
  bool Behind;
};

void PrintTo(const behind_case &Case, std::ostream *Out) { *Out << Case.Name; }

class entry_host_state : public testing::TestWithParam<behind_case> {};

TEST_P(entry_host_state, keeps_a_change_pending_while_it_may_act_by_an_older) {
  const behind_case &Case = GetParam();
  driven_state Driven;
  Driven.setInventory(testInventory(4));
  Driven.setRules(testRules(2000, 30000));
  Driven.joinHost("e1", 1);
  lease_table Leases{lease_times()};
  Leases.startTerm(Driven.State, Start);
  host_status Status;
  Status.Announced = {"e1", 1, "a", false};
  Status.AppliedIndex = Case.AppliedIndex;
  Status.HeardAt = Start;
  if (Case.Replaced) {
    Driven.joinHost("e1", 2);
    Status.Announced.Incarnation = 2;
    Status.HeardAt = Start + Case.After;
  }
  Leases.hostHeard(Status, 1000);
  EXPECT_EQ(
      !hostsBehind(Driven.State, Leases, 10, Case.Isolated, Start + Case.After)
           .empty(),
      Case.Behind);
}

constexpr auto None = isolated_service::None;
constexpr auto Open = isolated_service::OpenRoutes;

INSTANTIATE_TEST_SUITE_P(
    each_kind, entry_host_state,
    testing::Values(
        behind_case{"applied", 10, false, Open, {}, false},
        behind_case{"not_applied", 9, false, None, {}, true},
        behind_case{"key_after_the_lease", 9, false, None, LeaseOver, false},
        behind_case{"drain_after_the_lease", 9, false, Open, LeaseOver, true},
        behind_case{"drain_after_isolation", 9, false, Open, IsolationOver,
                    false},
        behind_case{"replaced_key", 10, true, None, LeaseOver, false},
        behind_case{"replaced_drain", 10, true, Open, LeaseOver, true},
        behind_case{"replaced_long_ago", 10, true, Open, IsolationOver,
                    false}));

} // namespace
} // namespace pomelo
