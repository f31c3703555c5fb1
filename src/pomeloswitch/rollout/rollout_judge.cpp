#include "pomeloswitch/rollout/rollout_judge.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using seconds_real = std::chrono::duration<double>;

//! From a bad response to the last request that a host sends by the old share:
//! reports, decision, commit and delivery.
constexpr milliseconds RollbackDelay{1200};
//! The first share is held for at least this part of the duration, or for less
//! if the completion takes long.
constexpr double FirstStepPart = 0.4;
//! Part of the budget that the first share uses until the last moment.
constexpr double FirstStepBudget = 0.5;
constexpr double MinFirstShare = 0.02;
constexpr double MaxFirstShare = 0.25;
constexpr std::array RaisedShares{0.25, 0.5, 1.0};
//! A raised share is held for at least this long: shorter than a period, the
//! evidence at the share would be missing.
constexpr milliseconds MinStep = 2 * rollout_judge::PeriodLength;
//! A judge that takes over decides at the time limit only after this long: the
//! hosts have to find the new leader and report first.
constexpr milliseconds TakeOverTime = 2 * rollout_judge::PeriodLength;
//! Part of the recent request rate that is expected to go on.
constexpr double ForecastPart = 0.7;

std::string describe(const comparison_result &Result) {
  return fmt::format(
      "{:.0f} of {:.0f} responses bad on route \"{}\", {:.1f} expected",
      Result.Bad, Result.Requests, Result.Route, Result.Expected);
}

} // namespace

rollout_judge::rollout_judge(rollout_terms Terms, double ShareInForce,
                             comparison_limits Limits)
    : Terms(Terms), Limits(Limits), Comparison(Limits), StepComparison(Limits),
      Began(ShareInForce > 0), TakenOver(ShareInForce > 0) {
  Verdict.Share = ShareInForce;
}

rollout_verdict rollout_judge::step(const rollout_observation &Observation) {
  if (Verdict.Stage != rollout_stage::Running)
    return Verdict;
  if (!FirstStepAt)
    FirstStepAt = Observation.Elapsed;
  if (!Began)
    begin(firstShare(Observation), "the roll-out has begun", Observation);
  if (Observation.Elapsed - PeriodEndedAt >= PeriodLength) {
    PeriodEndedAt = Observation.Elapsed;
    Comparison.addPeriod(Observation.Evidence);
    StepComparison.addPeriod(Observation.Evidence);
  }
  if (rollBackIfBad())
    return Verdict;
  const comparison_result Result = StepComparison.result();
  if (Result.Quality == version_quality::Good)
    raise(Observation, Result);
  else if (Verdict.Share > 0 && !affordable(Verdict.Share, Observation))
    begin(0, "held: the new version has got what an unproven one may get",
          Observation);
  endInTime(Observation);
  return Verdict;
}

bool rollout_judge::rollBackIfBad() {
  for (const version_comparison *Each : {&Comparison, &StepComparison}) {
    const comparison_result Result = Each->result();
    if (Result.Quality != version_quality::Bad)
      continue;
    finish(rollout_stage::RolledBack,
           "the new version is worse than the old one: " + describe(Result));
    return true;
  }
  return false;
}

//! Leaves time for the raised shares: a version may be bad under load only.
std::chrono::duration<double> rollout_judge::firstStepEnd() const {
  const seconds_real ByPart = FirstStepPart * seconds_real(Terms.Duration);
  const seconds_real Latest =
      Terms.Duration - Terms.CompletionTime - RaisedShares.size() * MinStep;
  return std::min(ByPart, Latest);
}

//! Goes on to the next share, or completes the roll-out.
void rollout_judge::raise(const rollout_observation &Observation,
                          const comparison_result &Result) {
  const milliseconds Held = Observation.Elapsed - StepBeganAt;
  if (Held < MinStep || seconds_real(Observation.Elapsed) < firstStepEnd())
    return;
  const std::string Evidence = "no worse than the old one: " + describe(Result);
  if (Verdict.Share >= 1)
    return finish(rollout_stage::Completing, Evidence);
  const double Next = *std::upper_bound(RaisedShares.begin(),
                                        RaisedShares.end(), Verdict.Share);
  if (affordable(Next, Observation))
    begin(Next, Evidence, Observation);
}

//! Ends the roll-out when a later completion would miss the time limit.
void rollout_judge::endInTime(const rollout_observation &Observation) {
  if (Verdict.Stage != rollout_stage::Running ||
      Observation.Elapsed + Terms.CompletionTime < Terms.Duration)
    return;
  if (TakenOver && Observation.Elapsed - *FirstStepAt < TakeOverTime)
    return;
  const comparison_result Result = Comparison.lateResult();
  if (Result.Quality == version_quality::Good)
    return finish(rollout_stage::Completing,
                  "no worse than the old one: " + describe(Result));
  finish(rollout_stage::RolledBack,
         "not enough evidence within the time limit: " + describe(Result));
}

void rollout_judge::begin(double Share, std::string Reason,
                          const rollout_observation &Observation) {
  Began = true;
  Verdict.Share = Share;
  Verdict.Reason = std::move(Reason);
  StepBeganAt = Observation.Elapsed;
  StepComparison = version_comparison(Limits);
  StepComparison.skipTo(Observation.Evidence);
}

void rollout_judge::finish(rollout_stage Stage, std::string Reason) {
  Verdict.Stage = Stage;
  Verdict.Share = Stage == rollout_stage::RolledBack ? 0 : 1;
  Verdict.Reason = std::move(Reason);
}

double
rollout_judge::requestRate(const rollout_observation &Observation) const {
  const seconds_real Elapsed = std::max(Observation.Elapsed, milliseconds(1));
  return static_cast<double>(Observation.Requests) / Elapsed.count();
}

//! Requests that the new version may get in all if it turns out to be bad.
double rollout_judge::budget(const rollout_observation &Observation) const {
  const seconds_real Left =
      std::max(milliseconds(0), Terms.Duration - Observation.Elapsed);
  const double Forecast =
      static_cast<double>(Observation.Requests) +
      ForecastPart * requestRate(Observation) * Left.count();
  return Terms.Exposure.Share * Forecast + Terms.Exposure.Slack;
}

//! A share that uses its part of the budget until the last moment, and for a
//! service with few requests the slack as well.
double rollout_judge::firstShare(const rollout_observation &Observation) const {
  const double ByShare = ForecastPart * Terms.Exposure.Share;
  const double Expected =
      requestRate(Observation) * seconds_real(Terms.Duration).count();
  const double BySlack = Expected > 0 ? Terms.Exposure.Slack / Expected : 0;
  // It is held until the last moment only, not for the whole duration.
  const seconds_real Held =
      std::max(Terms.Duration - Terms.CompletionTime, Terms.Duration / 2);
  const double PartHeld = Held / seconds_real(Terms.Duration);
  return std::clamp(FirstStepBudget * (ByShare + BySlack) / PartHeld,
                    MinFirstShare, MaxFirstShare);
}

//! Whether the share can be held for a step and still be taken back within the
//! budget.
bool rollout_judge::affordable(double Share,
                               const rollout_observation &Observation) const {
  const seconds_real AtRisk = MinStep + RollbackDelay;
  const double MayGet = Share * requestRate(Observation) * AtRisk.count();
  return static_cast<double>(Observation.NewRequests) + MayGet <=
         budget(Observation);
}

} // namespace pomelo
