#include "admission/fleet_model.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using model_script = std::function<void(fleet_model &, milliseconds)>;

struct fleet_case {
  std::string Name;
  model_plan Plan;
  double MaxRefusedPercent = 100;
};

void PrintTo(const fleet_case &Case, std::ostream *Out) { *Out << Case.Name; }

model_script at(milliseconds Time,
                const std::function<void(fleet_model &)> &Action) {
  return [=](fleet_model &Fleet, milliseconds Now) {
    if (Now == Time)
      Action(Fleet);
  };
}

model_script both(const model_script &First, const model_script &Second) {
  return [=](fleet_model &Fleet, milliseconds Now) {
    First(Fleet, Now);
    Second(Fleet, Now);
  };
}

model_script leaderChange(milliseconds At, milliseconds Gap) {
  return both(at(At, [](fleet_model &Fleet) { Fleet.loseLeader(); }),
              at(At + Gap, [](fleet_model &Fleet) { Fleet.lead(); }));
}

model_script restartEachSecond() {
  return [](fleet_model &Fleet, milliseconds Now) {
    const auto Host = static_cast<unsigned>(Now.count() / 1000) % 12;
    if (Now.count() % 1000 == 500)
      Fleet.stop(Host);
    if (Now.count() % 1000 == 510)
      Fleet.start(Host);
  };
}

model_script cutOf(unsigned First, unsigned Last, milliseconds From,
                   milliseconds Until) {
  return [=](fleet_model &Fleet, milliseconds Now) {
    for (unsigned Host = First; Host <= Last; ++Host)
      if (Now == From || Now == Until)
        Fleet.setCut(Host, Now == From);
  };
}

model_plan plan(double Offered, model_script Script = {}) {
  model_plan Plan;
  Plan.Offered = Offered;
  Plan.Script = std::move(Script);
  return Plan;
}

model_plan lossy(model_plan Plan) {
  Plan.Loss = 0.2;
  Plan.Duplicates = 0.2;
  Plan.Delay = milliseconds(400);
  return Plan;
}

model_plan drifting(model_plan Plan, double Speed) {
  Plan.LedgerSpeed = Speed;
  return Plan;
}

//! Load that comes in bursts, so that all that can be stored is stored.
model_plan pulsed(model_plan Plan) {
  Plan.Pause = milliseconds(2500);
  Plan.Burst = 300;
  return Plan;
}

model_plan smallBurst(model_plan Plan) {
  Plan.Burst = 30;
  return Plan;
}

class fleet : public testing::TestWithParam<fleet_case> {};

TEST_P(fleet, never_admits_more_than_rate_and_burst) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    model_plan Plan = GetParam().Plan;
    Plan.Seed = Seed;
    const model_result Result = fleet_model(Plan).run();
    RecordProperty("refused_percent_" + std::to_string(Seed),
                   std::to_string(Result.refusedPercent()));
    std::printf("%s seed %lu: refused %.4f %%, admitted %lu, reserve %.1f\n",
                GetParam().Name.c_str(), Seed, Result.refusedPercent(),
                Result.Admitted, Result.LeastReserve);
    EXPECT_GE(Result.LeastReserve, -1e-6);
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
                   plan(3, both(cutOf(0, 3, 9400ms, 10200ms),
                                leaderChange(9500ms, 100ms)))},
        fleet_case{"cut", plan(3, cutOf(0, 3, 5s, 10s))},
        fleet_case{"pulsed", pulsed(plan(3))},
        fleet_case{"pulsed_lossy", pulsed(lossy(plan(3)))},
        fleet_case{"pulsed_restarts", pulsed(plan(3, restartEachSecond()))},
        fleet_case{"pulsed_cut", pulsed(plan(3, cutOf(0, 3, 3s, 8s)))},
        fleet_case{"pulsed_cuts",
                   pulsed(plan(3, both(cutOf(1, 1, 3s, 3900ms),
                                       cutOf(3, 3, 7900ms, 8700ms))))},
        fleet_case{"pulsed_leader_change",
                   pulsed(plan(3, leaderChange(7600ms, 50ms)))},
        fleet_case{"pulsed_slow_leader_clock",
                   drifting(pulsed(plan(3, cutOf(0, 3, 3s, 8s))), 0.9901)},
        fleet_case{"pulsed_fast_leader_clock",
                   drifting(pulsed(plan(3, cutOf(0, 3, 3s, 8s))), 1.0099)},
        fleet_case{"cut_within_rate", plan(0.9, cutOf(11, 11, 5s, 10s))},
        fleet_case{"fast_leader_clock",
                   drifting(plan(3, cutOf(0, 3, 5s, 10s)), 1.0099)},
        fleet_case{"slow_leader_clock",
                   drifting(plan(3, cutOf(0, 3, 5s, 10s)), 0.9901)}),
    [](const auto &Info) { return Info.param.Name; });

class fleet_within_rate : public testing::TestWithParam<fleet_case> {};

TEST_P(fleet_within_rate, refuses_less_than_fixed_shares) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    model_plan Plan = GetParam().Plan;
    Plan.Seed = Seed;
    const double ByDemand = fleet_model(Plan).run().refusedPercent();
    Plan.FixedShares = true;
    const double Fixed = fleet_model(Plan).run().refusedPercent();
    std::printf("%s seed %lu: refused within rate: fixed %.3f %%, by demand "
                "%.3f %%\n",
                GetParam().Name.c_str(), Seed, Fixed, ByDemand);
    EXPECT_LT(ByDemand, Fixed / 5);
    EXPECT_LE(ByDemand, GetParam().MaxRefusedPercent);
  }
}

model_script hostLoss() {
  return both(at(7100ms, [](fleet_model &Fleet) { Fleet.stop(3); }),
              at(11500ms, [](fleet_model &Fleet) { Fleet.start(3); }));
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
        fleet_case{"cut_of_one_host", plan(0.9, cutOf(11, 11, 5s, 10s))}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
