//! Compares the responses of a new version with those of the old ones.
//!
//! Answers a bad version (errors, slow responses, on all routes or one) beside
//! trouble that has nothing to do with the version: targets that are slow or
//! fail, in either version, and overload of both. Each period is compared with
//! the old versions in the same period and on the same route, and the worst of
//! the new targets are left out: a bad version is bad on all its targets.
#ifndef POMELOSWITCH_ROLLOUT_VERSION_COMPARISON_HPP
#define POMELOSWITCH_ROLLOUT_VERSION_COMPARISON_HPP

#include "pomeloswitch/rollout/attempt_counts.hpp"

#include <map>
#include <span>
#include <string>
#include <utility>

namespace pomelo {

//! All that was counted for one route at one target since the roll-out began.
struct target_evidence {
  std::string Route;
  std::string TargetId;
  bool NewVersion = false;
  attempt_counts Counts;
};

struct comparison_limits {
  //! Responses slower than this many times the old versions' median are bad.
  double SlowFactor = 2.5;
  //! Part of the responses by which a bad version has more bad ones.
  double BadExcess = 0.12;
  //! Least part of bad responses that the old versions are credited with.
  double MinBadShare = 0.03;
  //! Part of the new targets that is left out, the worst ones.
  double TrimmedShare = 0.4;
  //! Logarithms of the likelihood ratio of bad to good at which the version
  //! counts as bad, or as good as far as is known.
  double BadLikelihood = 9;
  double GoodLikelihood = -3;
  //! The same at the time limit, when no more evidence can be awaited.
  double LateGoodLikelihood = -0.6;
  //! A route with a smaller part of the service's requests needs no evidence
  //! for the version to count as good.
  double MinRouteShare = 0.05;
};

enum class version_quality { Unknown, Good, Bad };

//! The evidence on one route, or the decisive one of several.
struct comparison_result {
  version_quality Quality = version_quality::Unknown;
  std::string Route;
  double Requests = 0;   //!< Of the new version, without trimmed targets.
  double Bad = 0;        //!< Of these.
  double Expected = 0;   //!< Bad ones, were it as good as the old versions.
  double Likelihood = 0; //!< Logarithm of the ratio of bad to good.
};

class version_comparison {
public:
  explicit version_comparison(comparison_limits Limits = {}) : Limits(Limits) {}

  //! Leaves out what was counted up to now.
  void skipTo(std::span<const target_evidence> Evidence);
  //! Adds the period since the last call. \p Evidence is cumulative and counts
  //! up from an earlier call.
  void addPeriod(std::span<const target_evidence> Evidence);
  //! Judges what was added so far: the worst route if any is bad, else one of
  //! which too little is known, else the least good.
  [[nodiscard]] comparison_result result() const {
    return judge(Limits.GoodLikelihood);
  }
  //! The same with what suffices at the time limit.
  [[nodiscard]] comparison_result lateResult() const {
    return judge(Limits.LateGoodLikelihood);
  }

private:
  using evidence_key = std::pair<std::string, std::string>; //!< Route, target.

  //! What was seen of one new target, and what was to be expected.
  struct tally {
    double Requests = 0;
    double Bad = 0;
    double Expected = 0;
  };

  struct route_period {
    attempt_counts Old;
    std::map<std::string, attempt_counts> New; //!< By target.
  };

  void addRoute(const std::string &Route, const route_period &Period);
  [[nodiscard]] comparison_result judge(double GoodLikelihood) const;
  [[nodiscard]] comparison_result
  judgeRoute(const std::string &Route,
             const std::map<std::string, tally> &Targets,
             double GoodLikelihood) const;
  [[nodiscard]] double minRequests() const;

  comparison_limits Limits;
  std::map<evidence_key, attempt_counts> Known; //!< At the last call.
  std::map<std::string, std::map<std::string, tally>> Routes;
  std::map<std::string, double> RequestsByRoute; //!< Of all versions.
};

} // namespace pomelo

#endif
