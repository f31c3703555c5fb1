#include "pomeloswitch/rollout/version_comparison.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace pomelo {
namespace {

//! Bucket after which a response is slow, by the median of \p Answers.
std::size_t slowBucket(const latency_counts &Answers, double SlowFactor) {
  const double Buckets =
      std::log(SlowFactor) / std::log(latency_counts::BoundFactor);
  return Answers.medianBucket() + static_cast<std::size_t>(std::ceil(Buckets));
}

double badOf(const attempt_counts &Counts, std::size_t SlowBucket) {
  return static_cast<double>(Counts.Failures +
                             Counts.Answers.countAbove(SlowBucket));
}

} // namespace

void version_comparison::skipTo(std::span<const target_evidence> Evidence) {
  for (const target_evidence &Each : Evidence)
    Known[{Each.Route, Each.TargetId}] = Each.Counts;
}

void version_comparison::addPeriod(std::span<const target_evidence> Evidence) {
  std::map<std::string, route_period> Periods;
  for (const target_evidence &Each : Evidence) {
    attempt_counts &Before = Known[{Each.Route, Each.TargetId}];
    attempt_counts Change = Each.Counts;
    Change -= Before;
    Before = Each.Counts;
    route_period &Period = Periods[Each.Route];
    if (Each.NewVersion)
      Period.New[Each.TargetId] += Change;
    else
      Period.Old += Change;
  }
  for (const auto &[Route, Period] : Periods)
    addRoute(Route, Period);
}

//! A period in which the old versions answered nothing says nothing about the
//! new one.
void version_comparison::addRoute(const std::string &Route,
                                  const route_period &Period) {
  const auto OldRequests = static_cast<double>(Period.Old.total());
  RequestsByRoute[Route] += OldRequests;
  const std::size_t Slow = slowBucket(Period.Old.Answers, Limits.SlowFactor);
  const double BadShare = std::max(
      Limits.MinBadShare, (badOf(Period.Old, Slow) + 0.5) / (OldRequests + 1));
  for (const auto &[TargetId, Counts] : Period.New) {
    const auto Requests = static_cast<double>(Counts.total());
    RequestsByRoute[Route] += Requests;
    if (OldRequests == 0)
      continue;
    tally &Tally = Routes[Route][TargetId];
    Tally.Requests += Requests;
    Tally.Bad += badOf(Counts, Slow);
    Tally.Expected += Requests * BadShare;
  }
}

comparison_result
version_comparison::judgeRoute(const std::string &Route,
                               const std::map<std::string, tally> &Targets,
                               double GoodLikelihood) const {
  std::vector<tally> Tallies;
  for (const auto &[TargetId, Tally] : Targets)
    if (Tally.Requests > 0)
      Tallies.push_back(Tally);
  const auto Excess = [](const tally &Tally) {
    return (Tally.Bad - Tally.Expected) / Tally.Requests;
  };
  std::sort(Tallies.begin(), Tallies.end(),
            [&Excess](const tally &Left, const tally &Right) {
              return Excess(Left) < Excess(Right);
            });
  const auto Trimmed = static_cast<std::size_t>(
      Limits.TrimmedShare * static_cast<double>(Tallies.size()));
  Tallies.resize(Tallies.size() - Trimmed);
  comparison_result Result;
  Result.Route = Route;
  for (const tally &Tally : Tallies) {
    Result.Requests += Tally.Requests;
    Result.Bad += Tally.Bad;
    Result.Expected += Tally.Expected;
  }
  if (Result.Requests == 0)
    return Result;
  const double IfGood = std::min(0.99, Result.Expected / Result.Requests);
  const double IfBad = IfGood + Limits.BadExcess * (1 - IfGood);
  Result.Likelihood =
      Result.Bad * std::log(IfBad / IfGood) +
      (Result.Requests - Result.Bad) * std::log((1 - IfBad) / (1 - IfGood));
  if (Result.Likelihood >= Limits.BadLikelihood)
    Result.Quality = version_quality::Bad;
  else if (Result.Likelihood <= GoodLikelihood)
    Result.Quality = version_quality::Good;
  return Result;
}

//! Requests that a route needs to be considered.
double version_comparison::minRequests() const {
  double All = 0;
  for (const auto &[Route, Requests] : RequestsByRoute)
    All += Requests;
  return Limits.MinRouteShare * All;
}

comparison_result version_comparison::judge(double GoodLikelihood) const {
  std::optional<comparison_result> Decisive;
  const auto Rank = [](const comparison_result &Result) {
    constexpr int Ranks[] = {1, 2, 0}; // Unknown, Good, Bad.
    return Ranks[static_cast<std::size_t>(Result.Quality)];
  };
  for (const auto &[Route, Requests] : RequestsByRoute) {
    const auto Targets = Routes.find(Route);
    const comparison_result Result =
        Targets == Routes.end()
            ? comparison_result{}
            : judgeRoute(Route, Targets->second, GoodLikelihood);
    const bool Considered =
        Result.Quality == version_quality::Bad || Requests >= minRequests();
    if (!Considered)
      continue;
    const bool Decides = !Decisive || Rank(Result) < Rank(*Decisive) ||
                         (Rank(Result) == Rank(*Decisive) &&
                          Result.Likelihood > Decisive->Likelihood);
    if (Decides)
      Decisive = Result;
  }
  return Decisive.value_or(comparison_result{});
}

} // namespace pomelo
