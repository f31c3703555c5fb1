#include "pomeloswitch/membership/in_force.hpp"

#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace pomelo {
namespace {

constexpr mono_time Start{std::chrono::hours(1)};
constexpr milliseconds AfterLease = lease_times().HostLease + milliseconds(20);
constexpr milliseconds AfterIsolation =
    lease_times().HostLease +
    milliseconds(30400); //!< Lease, isolation and drift.

//! One entry host, last heard from at Start. The change is at log index 10.
struct behind_case {
  std::string Name;
  std::uint64_t AppliedIndex;
  bool Replaced; //!< Incarnation 2 replaced one last heard from at Start.
  isolated_routing Isolated;
  milliseconds After;
  bool Behind;
};

void PrintTo(const behind_case &Case, std::ostream *Out) { *Out << Case.Name; }

class change_in_force : public testing::TestWithParam<behind_case> {};

TEST_P(change_in_force,
       is_pending_while_an_entry_host_may_act_on_an_older_state) {
  const behind_case &Case = GetParam();
  test_cluster Driven;
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

constexpr auto None = isolated_routing::None;
constexpr auto Open = isolated_routing::OpenRoutes;

INSTANTIATE_TEST_SUITE_P(
    each_kind, change_in_force,
    testing::Values(
        behind_case{"applied", 10, false, Open, {}, false},
        behind_case{"not_applied", 9, false, None, {}, true},
        behind_case{"key_after_the_lease", 9, false, None, AfterLease, false},
        behind_case{"drain_after_the_lease", 9, false, Open, AfterLease, true},
        behind_case{"drain_after_isolation", 9, false, Open, AfterIsolation,
                    false},
        behind_case{"replaced_key", 10, true, None, AfterLease, false},
        behind_case{"replaced_drain", 10, true, Open, AfterLease, true},
        behind_case{"replaced_long_ago", 10, true, Open, AfterIsolation,
                    false}));

} // namespace
} // namespace pomelo
