#include "pomeloswitch/sending/target_selection.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/routing/target_ring.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using time_point = target_selection::time_point;

constexpr time_point Start{std::chrono::hours(1)};
constexpr std::size_t Targets = 40;
constexpr std::size_t Hosts = 40;
//! Size of a host's subset, with few requests.
constexpr std::size_t Size = 8;

//! One of 40 entry hosts that use 8 of the 40 targets of a service each.
struct host_with_subset {
  explicit host_with_subset(std::size_t TargetCount = Targets,
                            std::size_t HostCount = Hosts) {
    Service.Name = "any";
    for (std::size_t Number = 0; Number < TargetCount; ++Number) {
      auto Target = std::make_shared<routing_target>();
      Target->Member.TargetId = fmt::format("t{}", Number);
      Target->Member.Incarnation = 1;
      Target->Member.FailureDomain = "d";
      Target->Member.Slots = 1;
      Target->Member.Version = "old";
      Service.Targets.push_back(Target);
    }
    Service.Ring = makeTargetRing(Service.Targets);
    View.EntryHosts = HostCount;
  }

  //! The target at \p Place of this host's subset, or behind it.
  routing_target &at(std::size_t Place) {
    // The fixture owns the targets, which only views hold as constants.
    return const_cast<routing_target &>(*Service.Ring[Place]);
  }

  //! Gives the target one request, which fills it; those before it took
  //! \p Latency.
  void fill(std::size_t Place, milliseconds Latency) {
    const routing_target &Target = at(Place);
    State.Statistics.recordSend(Target, Start - Latency);
    State.Statistics.recordOutcome(Target, send_outcome::Answered, Latency,
                                   Start);
    State.Statistics.recordSend(Target, Start);
  }

  void publish() { View.Services["any"] = Service; }

  std::unique_ptr<target_selection> request(milliseconds LatencyGoal) {
    pending_request Pending;
    Pending.Service = "any";
    Pending.Deadline = Start + seconds(2);
    Pending.LatencyGoal = LatencyGoal;
    return std::make_unique<target_selection>(State, Pending, Start);
  }

  //! Whether one more request is refused at once behind \p Ahead others.
  bool refusedBehind(std::size_t Ahead) {
    std::vector<std::unique_ptr<target_selection>> Waiting;
    for (std::size_t Number = 0; Number < Ahead; ++Number) {
      Waiting.push_back(request(milliseconds(1500)));
      EXPECT_FALSE(Waiting.back()->decide(View, true, Start)) << Number;
    }
    try {
      EXPECT_FALSE(request(milliseconds(500))->decide(View, true, Start));
      return false;
    } catch (const pomelo_error &Refusal) {
      EXPECT_EQ(Refusal.kind(), error_kind::Overloaded);
      return true;
    }
  }

  send_state State{"d"};
  routing_view View;
  routing_service Service;
};

class subset_selection : public testing::Test, protected host_with_subset {
protected:
  using host_with_subset::host_with_subset;
};

// Guards against refusals that count only the subset while the targets behind
// it, which are used once the subset is full, free capacity in time.
TEST_F(subset_selection, counts_the_targets_that_it_may_widen_to) {
  for (std::size_t Place = 0; Place < 2 * Size; ++Place)
    fill(Place, Place < Size ? seconds(2) : milliseconds(50));
  publish();
  EXPECT_FALSE(refusedBehind(4));
}

// Guards against waits that are estimated too short: nothing behind the widened
// subset is used.
TEST_F(subset_selection, does_not_count_the_targets_behind) {
  for (std::size_t Place = 0; Place < 2 * Size; ++Place)
    fill(Place, seconds(2));
  publish();
  EXPECT_TRUE(refusedBehind(4));
}

struct rollout_case {
  std::string Name;
  double Share;
  bool Refused;
};

void PrintTo(const rollout_case &Case, std::ostream *Out) { *Out << Case.Name; }

class queue_in_a_rollout : public subset_selection,
                           public testing::WithParamInterface<rollout_case> {};

// Guards against refusals by the capacity of the last targets of the old
// version while the requests ahead go to the new one.
TEST_P(queue_in_a_rollout, is_served_by_both_versions) {
  for (std::size_t Place = 0; Place < Targets; ++Place) {
    if (Place > 0)
      at(Place).Member.Version = "new";
    fill(Place, milliseconds(200));
  }
  Service.Split = {7, "new", GetParam().Share};
  publish();
  EXPECT_EQ(refusedBehind(3), GetParam().Refused);
}

INSTANTIATE_TEST_SUITE_P(each_share, queue_in_a_rollout,
                         testing::Values(rollout_case{"not_begun", 0, true},
                                         rollout_case{"half", 0.5, false},
                                         rollout_case{"all", 1, false}),
                         [](const auto &Info) { return Info.param.Name; });

//! The load of docs/HARD-LOAD.md, section 3.2, for a service with one cold
//! target.
class cold_target_of_a_fleet : public subset_selection {
protected:
  static constexpr std::size_t FleetHosts = 68;
  static constexpr std::size_t FleetTargets = 105;
  static constexpr int RequestsPerSecond = 19; //!< Of each host.

  cold_target_of_a_fleet() : subset_selection(FleetTargets, FleetHosts) {}

  //! Sends one request of the host and records its answer.
  //! Returns whether it went to the cold target.
  static bool sendOne(send_state &Host, const routing_view &View,
                      time_point Now) {
    pending_request Pending;
    Pending.Service = "any";
    Pending.Deadline = Now + seconds(2);
    target_selection Selection(Host, Pending, Now);
    const auto Owner = Selection.decide(View, true, Now);
    if (!Owner)
      return false;
    Host.Statistics.recordSend(*Owner->Target, Now);
    Host.Statistics.recordOutcome(*Owner->Target, send_outcome::Answered,
                                  milliseconds(50), Now);
    return Owner->Target->Member.Cold;
  }
};

// Guards against a new target that waits for its first request, and stays cold,
// because the hosts that do not use it keep a share of its rate.
TEST_F(cold_target_of_a_fleet, gets_its_whole_rate_from_the_hosts_that_use_it) {
  constexpr double ColdRate = 4;
  constexpr auto Period = seconds(20);
  at(FleetTargets / 2).Member.Cold = true;
  Service.ColdRatePerSecond = ColdRate;
  publish();
  std::vector<send_state> Fleet;
  for (std::size_t Host = 0; Host < FleetHosts; ++Host)
    Fleet.emplace_back("d", Host);
  std::vector<time_point> ColdSends;
  for (auto Now = Start; Now < Start + Period;
       Now += milliseconds(1000 / RequestsPerSecond))
    for (std::size_t Host = 0; Host < FleetHosts; ++Host) {
      View.RingPosition = static_cast<double>(Host) / FleetHosts;
      if (sendOne(Fleet[Host], View, Now))
        ColdSends.push_back(Now);
    }
  ASSERT_FALSE(ColdSends.empty());
  EXPECT_LE(ColdSends.front() - Start, seconds(4));
  const double Expected = ColdRate * static_cast<double>(Period.count());
  EXPECT_GE(static_cast<double>(ColdSends.size()), 0.5 * Expected);
  EXPECT_LE(static_cast<double>(ColdSends.size()), 1.5 * Expected + 8);
}

//! Returns the least time, of 50 trials, that a poll of a request takes which
//! waits behind another for one of \p TargetCount full targets.
std::chrono::nanoseconds leastPollTime(std::size_t TargetCount) {
  host_with_subset Host(TargetCount);
  for (std::size_t Place = 0; Place < TargetCount; ++Place)
    Host.fill(Place, milliseconds(200));
  Host.publish();
  const auto Ahead = Host.request(milliseconds(1500));
  EXPECT_FALSE(Ahead->decide(Host.View, true, Start));
  const auto Waiting = Host.request(milliseconds(1500));
  EXPECT_FALSE(Waiting->decide(Host.View, true, Start));
  auto Least = std::chrono::nanoseconds::max();
  for (int Trial = 0; Trial < 50; ++Trial) {
    const auto Begin = std::chrono::steady_clock::now();
    EXPECT_FALSE(Waiting->decide(Host.View, true, Start));
    Least = std::min<std::chrono::nanoseconds>(
        Least, std::chrono::steady_clock::now() - Begin);
  }
  return Least;
}

// Guards against work for each poll of each waiting request that grows with the
// number of targets. 500 times as many targets may take 20 times as long, which
// leaves room for noise.
TEST(waiting_request, is_polled_without_a_look_at_all_targets) {
  EXPECT_LE(leastPollTime(20'000), 20 * leastPollTime(40));
}

} // namespace
} // namespace pomelo
