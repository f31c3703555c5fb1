#include "pomeloswitch/routing/routing_view.hpp"

#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace pomelo {
namespace {

struct share_case {
  std::string Name;
  unsigned Hosts;
  unsigned Threads;
  std::uint32_t Share;
};

void PrintTo(const share_case &Case, std::ostream *Out) { *Out << Case.Name; }

class connection_share : public testing::TestWithParam<share_case> {};

TEST_P(connection_share, of_all_threads_of_all_hosts_keeps_to_the_targets) {
  const share_case &Case = GetParam();
  test_cluster Driven;
  Driven.setInventory(testInventory(4));
  for (unsigned Host = 0; Host < Case.Hosts; ++Host)
    Driven.joinHost(fmt::format("e{}", Host), 1);
  const target_member Target = testTarget("t1", 1, true, 4001);
  Driven.joinTarget(Target);
  const auto View = makeRoutingView(Driven.State, Case.Threads);
  const std::uint32_t Share = View->Targets.at("t1")->ConnectionShare;
  EXPECT_EQ(Share, Case.Share);
  EXPECT_LE(Share * Case.Threads * Case.Hosts, Target.Connections);
}

class unusable_address : public testing::TestWithParam<std::string> {};

TEST_P(unusable_address, names_no_target_while_the_others_hold) {
  test_cluster Driven;
  Driven.setInventory(testInventory(4));
  target_member Odd = testTarget("odd", 1, true, 1);
  Odd.Address = GetParam();
  Driven.joinTarget(Odd);
  Driven.joinTarget(testTarget("t1", 1, true, 4001));
  const auto View = makeRoutingView(Driven.State, 1);
  EXPECT_EQ(View->Targets.count("odd"), 0U);
  EXPECT_EQ(View->Targets.count("t1"), 1U);
  EXPECT_EQ(View->findService("archive")->Targets.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(each, unusable_address,
                         testing::Values("", "host:1", "127.0.0.1",
                                         "127.0.0.1:0", "127.0.0.1:99999",
                                         "127.0.0.1:-1", "[::1]:80"));

INSTANTIATE_TEST_SUITE_P(each_size, connection_share,
                         testing::Values(share_case{"alone", 1, 1, 130},
                                         share_case{"two_threads", 1, 2, 65},
                                         share_case{"twelve_hosts", 12, 2, 5}));

TEST(routing_view, keeps_only_the_targets_of_one_domain_where_asked) {
  test_cluster Driven;
  Driven.setInventory(testInventory(4));
  Driven.joinTarget(testTarget("t1", 1, true, 4001));
  target_member Far = testTarget("t2", 1, true, 4002);
  Far.FailureDomain = "b";
  Driven.joinTarget(Far);
  const auto View = makeRoutingView(Driven.State);
  const auto Within = restrictToDomain(*View->findService("archive"), "b");
  ASSERT_EQ(Within.Targets.size(), 1U);
  EXPECT_EQ(Within.Targets.front()->Member.TargetId, "t2");
}

} // namespace
} // namespace pomelo
