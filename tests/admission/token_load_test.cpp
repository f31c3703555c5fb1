//! Replays the load of a large fleet: accounts that are too small to be divided
//! among the hosts, and callers that pick a host at random.
#include "admission/fleet_simulation.hpp"

#include <gtest/gtest.h>

#include <numeric>

namespace pomelo {
namespace {

using namespace std::chrono_literals;

//! As in http/account_admission.
constexpr milliseconds MaxUndecidedWait = 1s;
constexpr double MaxRefusedPercent = 0.1;
constexpr unsigned MaxWaitOfMost = 10; //!< Of nine tenths of admissions, ms.

struct token_case {
  std::string Name;
  unsigned Hosts;
  unsigned Accounts;
  double FirstLoad = 0; //!< Of the first account; 0 as the others.
  milliseconds LeaderGap{0};
  double HotFraction = 0;
  //! Messages of each host to the leader a second, beside its heartbeats and
  //! one for each of its admissions.
  double OtherMessages = 1;
  milliseconds Length = 4s;
};

void PrintTo(const token_case &Case, std::ostream *Out) { *Out << Case.Name; }

simulation_plan planOf(const token_case &Case) {
  simulation_plan Plan;
  Plan.Hosts = Case.Hosts;
  Plan.Accounts = Case.Accounts;
  Plan.Rate = 20;
  Plan.Burst = 20;
  Plan.OfferedLoad = 0.5;
  Plan.FirstOfferedLoad = Case.FirstLoad;
  Plan.HotFraction = Case.HotFraction;
  Plan.Delay = 2ms;
  Plan.Length = Case.Length;
  Plan.MaxUndecidedWait = MaxUndecidedWait;
  if (Case.LeaderGap > 0ms)
    Plan.Script = [Gap = Case.LeaderGap](fleet_simulation &Fleet,
                                         milliseconds Now) {
      if (Now == 2s)
        Fleet.stopLeader();
      if (Now == 2s + Gap)
        Fleet.startLeader();
    };
  return Plan;
}

class token_load : public testing::TestWithParam<token_case> {};

TEST_P(token_load, admits_what_is_within_its_rate_within_milliseconds) {
  const token_case &Case = GetParam();
  const simulation_result Result = fleet_simulation(planOf(Case)).run();
  const std::uint64_t OfFirst =
      Case.FirstLoad > 0 ? Result.RefusedOfAccount[0] : 0;
  const double Refused = 100.0 * static_cast<double>(Result.Refused - OfFirst) /
                         static_cast<double>(Result.Arrived);
  const double Seconds = std::chrono::duration<double>(Case.Length).count();
  const double MessagesOfHost = (static_cast<double>(Result.Messages) -
                                 static_cast<double>(Result.Admitted)) /
                                Seconds / Case.Hosts;
  std::printf("%s: admitted %lu, waits %u and %u ms, refused within rate "
              "%.3f %%, %lu messages\n",
              Case.Name.c_str(), Result.Admitted, Result.waitOf(0.5),
              Result.waitOf(0.9), Refused, Result.Messages);
  EXPECT_GE(Result.MinReserve, -1e-6);
  EXPECT_LE(Result.waitOf(0.9), MaxWaitOfMost);
  EXPECT_LE(Refused, MaxRefusedPercent);
  EXPECT_LE(MessagesOfHost, 5 + Case.OtherMessages);
}

INSTANTIATE_TEST_SUITE_P(
    each_fleet, token_load,
    testing::Values(
        token_case{"12_hosts", 12, 140}, token_case{"75_hosts", 75, 140},
        token_case{"190_hosts", 190, 140}, token_case{"300_hosts", 300, 140},
        token_case{"1000_hosts", 1000, 140},
        token_case{"190_hosts_1000_accounts", 190, 1000, 0, 0ms, 0, 1, 2s},
        token_case{"300_hosts_clumped", 300, 140, 0, 0ms, 0.5},
        token_case{"190_hosts_8_accounts", 190, 8},
        token_case{"190_hosts_one_account_at_eight_times_its_rate", 190, 140,
                   8},
        token_case{"190_hosts_leader_lost", 190, 140, 0, 400ms, 0, 1, 12s}));

} // namespace
} // namespace pomelo
