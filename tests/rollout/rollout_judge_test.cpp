//! Roll-outs of modelled versions.
#include "pomeloswitch/rollout/rollout_judge.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! How a version answers at some moment.
struct behaviour {
  double Failures = 0.005; //!< Part of the requests.
  double Slowdown = 1;
};

//! Parameters: seconds since the order, the version's share of the requests,
//! the route.
using version_model =
    std::function<behaviour(double Second, double Share, unsigned Route)>;

behaviour healthy(double, double, unsigned) { return {}; }

struct rollout_case {
  std::string Name;
  version_model New = healthy;
  version_model Old = healthy;
  rollout_stage End = rollout_stage::Completing;
  std::vector<double> RequestsPerSecond = {400}; //!< By route.
  seconds Duration{20};
  //! Part of the targets of each version that fail half of the requests.
  double GreyTargets = 0;
  bool NewTargetsCold = false; //!< For the first 3 s, which are not counted.
  milliseconds CompletionTime{3000};
};

void PrintTo(const rollout_case &Case, std::ostream *Out) { *Out << Case.Name; }

//! What came of one roll-out.
struct played_rollout {
  rollout_verdict Verdict;
  milliseconds EndedAt{0};
  double Requests = 0;    //!< Until the time limit, forecast from the end on.
  double NewRequests = 0; //!< Until the end has taken effect.
};

//! Plays requests against a judge. What the judge decides takes effect
//! EffectDelay later.
class rollout_play {
public:
  rollout_play(const rollout_case &Case, unsigned Seed)
      : Case(Case), Random(Seed),
        Judge({Case.Duration, Case.CompletionTime, {}}, 0) {
    for (unsigned Route = 0; Route < Case.RequestsPerSecond.size(); ++Route)
      for (unsigned Target = 0; Target < 2 * TargetsOfVersion; ++Target)
        Evidence.push_back({fmt::format("route-{}", Route),
                            fmt::format("target-{}", Target),
                            Target >= TargetsOfVersion,
                            {}});
  }

  played_rollout run() {
    played_rollout Played;
    for (milliseconds Now = Step; Now < Case.Duration; Now += Step) {
      send(Now);
      Played.Verdict = Judge.step({Now, AllRequests, NewRequests, Evidence});
      if (Played.Verdict.Stage != rollout_stage::Running) {
        Played.EndedAt = Now;
        break;
      }
      Pending.push_back({Now + EffectDelay, Played.Verdict.Share});
    }
    const double PerSecond =
        static_cast<double>(AllRequests) /
        std::chrono::duration<double>(Played.EndedAt).count();
    Played.Requests =
        PerSecond * std::chrono::duration<double>(Case.Duration).count();
    Played.NewRequests =
        static_cast<double>(NewRequests) +
        Share * PerSecond * std::chrono::duration<double>(EffectDelay).count();
    return Played;
  }

private:
  void send(milliseconds Now) {
    while (!Pending.empty() && Pending.front().first <= Now) {
      Share = Pending.front().second;
      Pending.erase(Pending.begin());
    }
    for (unsigned Route = 0; Route < Case.RequestsPerSecond.size(); ++Route) {
      std::poisson_distribution<int> Arrivals(
          Case.RequestsPerSecond[Route] *
          std::chrono::duration<double>(Step).count());
      for (int Left = Arrivals(Random); Left > 0; --Left)
        sendOne(Now, Route);
    }
  }

  void sendOne(milliseconds Now, unsigned Route) {
    const double Second = std::chrono::duration<double>(Now).count();
    const bool ToNew = Uniform(Random) < Share;
    const auto Number =
        static_cast<unsigned>(Uniform(Random) * TargetsOfVersion);
    const behaviour Model =
        ToNew ? Case.New(Second, Share, Route) : Case.Old(Second, 1, Route);
    ++AllRequests;
    NewRequests += ToNew ? 1 : 0;
    if (ToNew && Case.NewTargetsCold && Second < 3)
      return;
    attempt_counts &Counts = Evidence[Route * 2 * TargetsOfVersion +
                                      (ToNew ? TargetsOfVersion : 0) + Number]
                                 .Counts;
    const bool Grey = Number < Case.GreyTargets * TargetsOfVersion;
    if (Uniform(Random) < (Grey ? 0.5 : Model.Failures)) {
      ++Counts.Failures;
      return;
    }
    // Targets are three times slower for a fifth of the time.
    const double Noise = Uniform(Random) < 0.2 ? 3 : 1;
    std::lognormal_distribution<double> Latency(-1.5, 0.4);
    Counts.Answers.record(std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(Latency(Random) * Noise *
                                      Model.Slowdown)));
  }

  static constexpr unsigned TargetsOfVersion = 10;
  static constexpr milliseconds Step{200};
  static constexpr milliseconds EffectDelay{800};

  const rollout_case &Case;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Uniform{0, 1};
  rollout_judge Judge;
  std::vector<target_evidence> Evidence;
  std::vector<std::pair<milliseconds, double>> Pending;
  double Share = 0;
  std::uint64_t AllRequests = 0;
  std::uint64_t NewRequests = 0;
};

class modelled_rollout : public testing::TestWithParam<rollout_case> {};

// Guards against a bad version that goes on, and a good one that is rolled back
// for trouble that hits the old one as well.
TEST_P(modelled_rollout, ends_as_the_version_deserves) {
  const rollout_case &Case = GetParam();
  constexpr unsigned Seeds = 50;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    const played_rollout Played = rollout_play(Case, Seed).run();
    EXPECT_EQ(toString(Played.Verdict.Stage), toString(Case.End))
        << "seed " << Seed << ": " << Played.Verdict.Reason;
    if (Case.End == rollout_stage::RolledBack) {
      EXPECT_LE(Played.NewRequests, 0.1 * Played.Requests + 50)
          << "seed " << Seed << ", ended after " << Played.EndedAt.count()
          << " ms: " << Played.Verdict.Reason;
    }
  }
}

version_model failing(double Part, double From = 0) {
  return [Part, From](double Second, double, unsigned) {
    return behaviour{Second < From ? 0.005 : Part, 1};
  };
}

version_model slower(double Factor, double From = 0) {
  return [Factor, From](double Second, double, unsigned) {
    return behaviour{0.005, Second < From ? 1 : Factor};
  };
}

behaviour failingUnderLoad(double, double Share, unsigned) {
  return {Share > 0.2 ? 0.5 : 0.005, 1};
}

behaviour failingOnOneRoute(double, double, unsigned Route) {
  return {Route == 1 ? 0.5 : 0.005, 1};
}

//! Overload from second 4 to 9.
behaviour troubled(double Second, double, unsigned) {
  return Second > 4 && Second < 9 ? behaviour{0.3, 3} : behaviour{};
}

INSTANTIATE_TEST_SUITE_P(
    table, modelled_rollout,
    testing::Values(
        rollout_case{"good"},
        rollout_case{.Name = "good_in_a_short_time", .Duration = seconds(12)},
        rollout_case{.Name = "good_in_trouble_of_both",
                     .New = troubled,
                     .Old = troubled},
        rollout_case{.Name = "good_among_grey_targets", .GreyTargets = 0.2},
        rollout_case{.Name = "good_on_several_routes",
                     .RequestsPerSecond = {300, 40, 10}},
        rollout_case{.Name = "good_after_a_cold_start", .NewTargetsCold = true},
        rollout_case{.Name = "better_than_the_old",
                     .Old =
                         [](double, double, unsigned) {
                           return behaviour{0.2, 2};
                         }},
        rollout_case{.Name = "bad_at_once",
                     .New = failing(0.5),
                     .End = rollout_stage::RolledBack},
        rollout_case{.Name = "bad_in_part",
                     .New = failing(0.3),
                     .End = rollout_stage::RolledBack},
        rollout_case{.Name = "bad_in_a_short_time",
                     .New = failing(0.4),
                     .End = rollout_stage::RolledBack,
                     .Duration = seconds(12)},
        rollout_case{.Name = "bad_later",
                     .New = failing(0.5, 8),
                     .End = rollout_stage::RolledBack},
        rollout_case{.Name = "bad_under_load",
                     .New = failingUnderLoad,
                     .End = rollout_stage::RolledBack},
        rollout_case{.Name = "bad_on_one_route",
                     .New = failingOnOneRoute,
                     .End = rollout_stage::RolledBack,
                     .RequestsPerSecond = {300, 40}},
        rollout_case{.Name = "bad_beside_trouble_of_both",
                     .New = failing(0.6),
                     .Old = troubled,
                     .End = rollout_stage::RolledBack},
        rollout_case{.Name = "several_times_slower",
                     .New = slower(4),
                     .End = rollout_stage::RolledBack},
        rollout_case{.Name = "slower_later",
                     .New = slower(4, 8),
                     .End = rollout_stage::RolledBack},
        rollout_case{.Name = "good_with_a_long_completion",
                     .Duration = seconds(12),
                     .CompletionTime = milliseconds(6500)},
        rollout_case{.Name = "bad_under_load_with_a_long_completion",
                     .New = failingUnderLoad,
                     .End = rollout_stage::RolledBack,
                     .Duration = seconds(12),
                     .CompletionTime = milliseconds(6500)},
        rollout_case{.Name = "too_few_requests",
                     .End = rollout_stage::RolledBack,
                     .RequestsPerSecond = {1}},
        rollout_case{.Name = "too_little_time",
                     .End = rollout_stage::RolledBack,
                     .Duration = seconds(3)}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
