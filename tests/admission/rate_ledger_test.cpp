#include "admission/fleet_simulation.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using simulation_script = std::function<void(fleet_simulation &, milliseconds)>;

struct fleet_case {
  std::string Name;
  simulation_plan Plan;
  double MaxRefusedPercent = 100;
};

void PrintTo(const fleet_case &Case, std::ostream *Out) { *Out << Case.Name; }

simulation_script at(milliseconds Time,
                     const std::function<void(fleet_simulation &)> &Action) {
  return [=](fleet_simulation &Fleet, milliseconds Now) {
    if (Now == Time)
      Action(Fleet);
  };
}

simulation_script both(const simulation_script &First,
                       const simulation_script &Second) {
  return [=](fleet_simulation &Fleet, milliseconds Now) {
    First(Fleet, Now);
    Second(Fleet, Now);
  };
}

simulation_script leaderChange(milliseconds At, milliseconds Gap) {
  return both(
      at(At, [](fleet_simulation &Fleet) { Fleet.stopLeader(); }),
      at(At + Gap, [](fleet_simulation &Fleet) { Fleet.startLeader(); }));
}

simulation_script restartEachSecond() {
  return [](fleet_simulation &Fleet, milliseconds Now) {
    const auto Host = static_cast<unsigned>(Now.count() / 1000) % 12;
    if (Now.count() % 1000 == 500)
      Fleet.stop(Host);
    if (Now.count() % 1000 == 510)
      Fleet.start(Host);
  };
}

simulation_script partition(unsigned First, unsigned Last, milliseconds From,
                            milliseconds Until) {
  return [=](fleet_simulation &Fleet, milliseconds Now) {
    for (unsigned Host = First; Host <= Last; ++Host)
      if (Now == From || Now == Until)
        Fleet.setPartitioned(Host, Now == From);
  };
}

simulation_plan plan(double OfferedLoad, simulation_script Script = {}) {
  simulation_plan Plan;
  Plan.OfferedLoad = OfferedLoad;
  Plan.Script = std::move(Script);
  return Plan;
}

simulation_plan lossy(simulation_plan Plan) {
  Plan.LossRate = 0.2;
  Plan.DuplicateRate = 0.2;
  Plan.Delay = milliseconds(400);
  return Plan;
}

simulation_plan drifting(simulation_plan Plan, double ClockSpeed) {
  Plan.LeaderClockSpeed = ClockSpeed;
  return Plan;
}

//! Load in pulses, so that the pauses fill all storage of unused tokens.
simulation_plan pulsed(simulation_plan Plan) {
  Plan.Pause = milliseconds(2500);
  Plan.Burst = 300;
  return Plan;
}

simulation_plan smallBurst(simulation_plan Plan) {
  Plan.Burst = 30;
  return Plan;
}

class fleet : public testing::TestWithParam<fleet_case> {};

TEST_P(fleet, never_admits_more_than_rate_and_burst) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    simulation_plan Plan = GetParam().Plan;
    Plan.Seed = Seed;
    const simulation_result Result = fleet_simulation(Plan).run();
    RecordProperty("refused_percent_" + std::to_string(Seed),
                   std::to_string(Result.refusedPercent()));
    std::printf("%s seed %lu: refused %.4f %%, admitted %lu, reserve %.1f\n",
                GetParam().Name.c_str(), Seed, Result.refusedPercent(),
                Result.Admitted, Result.MinReserve);
    EXPECT_GE(Result.MinReserve, -1e-6);
    EXPECT_LE(Result.refusedPercent(), GetParam().MaxRefusedPercent);
    EXPECT_GT(Result.Admitted, 0U);
  }
}

using namespace std::chrono_literals;

INSTANTIATE_TEST_SUITE_P(
    each_failure, fleet,
    testing::Values(
        fleet_case{"shifting", plan(0.9)}, fleet_case{"threefold", plan(3)},
        fleet_case{"threefold_small_burst", smallBurst(plan(3))},
        fleet_case{"lossy", lossy(plan(3))},
        fleet_case{"restarts", plan(3, restartEachSecond())},
        fleet_case{"lossy_restarts", lossy(plan(3, restartEachSecond()))},
        fleet_case{"leader_change", plan(0.9, leaderChange(9500ms, 300ms))},
        fleet_case{"long_leader_change", plan(0.9, leaderChange(9500ms, 2s))},
        fleet_case{"threefold_leader_change",
                   plan(3, leaderChange(9500ms, 300ms))},
        fleet_case{"lossy_leader_change",
                   lossy(plan(3, leaderChange(9500ms, 10ms)))},
        fleet_case{"leader_change_in_cut",
                   plan(3, both(partition(0, 3, 9400ms, 10200ms),
                                leaderChange(9500ms, 100ms)))},
        fleet_case{"cut", plan(3, partition(0, 3, 5s, 10s))},
        fleet_case{"pulsed", pulsed(plan(3))},
        fleet_case{"pulsed_lossy", pulsed(lossy(plan(3)))},
        fleet_case{"pulsed_restarts", pulsed(plan(3, restartEachSecond()))},
        fleet_case{"pulsed_cut", pulsed(plan(3, partition(0, 3, 3s, 8s)))},
        fleet_case{"pulsed_cuts",
                   pulsed(plan(3, both(partition(1, 1, 3s, 3900ms),
                                       partition(3, 3, 7900ms, 8700ms))))},
        fleet_case{"pulsed_leader_change",
                   pulsed(plan(3, leaderChange(7600ms, 50ms)))},
        fleet_case{"pulsed_slow_leader_clock",
                   drifting(pulsed(plan(3, partition(0, 3, 3s, 8s))), 0.9901)},
        fleet_case{"pulsed_fast_leader_clock",
                   drifting(pulsed(plan(3, partition(0, 3, 3s, 8s))), 1.0099)},
        fleet_case{"cut_within_rate", plan(0.9, partition(11, 11, 5s, 10s))},
        fleet_case{"fast_leader_clock",
                   drifting(plan(3, partition(0, 3, 5s, 10s)), 1.0099)},
        fleet_case{"slow_leader_clock",
                   drifting(plan(3, partition(0, 3, 5s, 10s)), 0.9901)}),
    [](const auto &Info) { return Info.param.Name; });

class fleet_within_rate : public testing::TestWithParam<fleet_case> {};

TEST_P(fleet_within_rate, refuses_less_than_fixed_shares) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    simulation_plan Plan = GetParam().Plan;
    Plan.Seed = Seed;
    const double ByDemand = fleet_simulation(Plan).run().refusedPercent();
    Plan.FixedShares = true;
    const double Fixed = fleet_simulation(Plan).run().refusedPercent();
    std::printf("%s seed %lu: refused within rate: fixed %.3f %%, by demand "
                "%.3f %%\n",
                GetParam().Name.c_str(), Seed, Fixed, ByDemand);
    EXPECT_LT(ByDemand, Fixed / 5);
    EXPECT_LE(ByDemand, GetParam().MaxRefusedPercent);
  }
}

simulation_script hostLoss() {
  return both(at(7100ms, [](fleet_simulation &Fleet) { Fleet.stop(3); }),
              at(11500ms, [](fleet_simulation &Fleet) { Fleet.start(3); }));
}

INSTANTIATE_TEST_SUITE_P(
    each_failure, fleet_within_rate,
    testing::Values(
        fleet_case{"steady_80_percent", plan(0.8), 0.1},
        fleet_case{"shifting_90_percent", plan(0.9), 0.2},
        fleet_case{"host_loss", plan(0.9, hostLoss())},
        fleet_case{"leader_change_300_ms",
                   plan(0.9, leaderChange(9500ms, 300ms))},
        fleet_case{"leader_change_2_s", plan(0.9, leaderChange(9500ms, 2s))},
        fleet_case{"cut_of_one_host", plan(0.9, partition(11, 11, 5s, 10s))}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
