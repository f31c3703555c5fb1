#include "pomeloswitch/entry/pending_leases.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr lease_time Start{std::chrono::hours(1)};
constexpr milliseconds Lease{1200};

TEST(pending_leases, counts_a_lease_only_once_its_commits_are_applied) {
  pending_leases Leases;
  Leases.add(7, Start + Lease, Start);
  EXPECT_FALSE(Leases.take(6));
  EXPECT_EQ(Leases.take(7), Start + Lease);
  EXPECT_FALSE(Leases.take(8));
}

TEST(pending_leases, leave_no_host_without_lease_under_steady_commits) {
  pending_leases Leases;
  lease_time ValidUntil{};
  constexpr std::uint64_t Behind = 3;
  for (std::uint64_t Index = Behind; Index < 100; ++Index) {
    const lease_time Now = Start + milliseconds(100) * Index;
    Leases.add(Index, Now + Lease, Now);
    if (const auto Until = Leases.take(Index - Behind))
      ValidUntil = *Until;
    if (Index > 2 * Behind)
      EXPECT_GT(ValidUntil, Now) << "index " << Index;
  }
}

TEST(pending_leases, never_count_a_lease_granted_by_a_leader_behind) {
  pending_leases Leases;
  Leases.add(9, Start + Lease, Start);
  Leases.add(5, Start + 2 * Lease, Start);
  EXPECT_FALSE(Leases.take(8));
  EXPECT_EQ(Leases.take(9), Start + 2 * Lease);
}

TEST(pending_leases, ignore_an_acknowledgement_that_was_overtaken) {
  pending_leases Leases;
  Leases.add(9, Start + Lease, Start);
  EXPECT_EQ(Leases.take(9), Start + Lease);
  Leases.add(9, Start + Lease / 2, Start);
  EXPECT_FALSE(Leases.take(9));
}

// Such a host is in touch with the group and not isolated.
TEST(pending_leases, tell_that_the_state_is_outdated_once_no_lease_covers_it) {
  pending_leases Leases;
  EXPECT_FALSE(Leases.outdated(0, Start));
  Leases.add(9, Start + Lease, Start);
  EXPECT_TRUE(Leases.outdated(8, Start));
  EXPECT_EQ(Leases.take(9), Start + Lease);
  EXPECT_FALSE(Leases.outdated(9, Start));
  Leases.add(11, Start + 2 * Lease, Start);
  EXPECT_FALSE(Leases.outdated(9, Start));
  EXPECT_TRUE(Leases.outdated(9, Start + Lease));
}

} // namespace
} // namespace pomelo
