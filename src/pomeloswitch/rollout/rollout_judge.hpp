//! Decides how a roll-out goes on: which share of the requests the new version
//! gets, and when the roll-out is completed or rolled back.
//!
//! What a bad version may get before it is recognised is bounded by a part of
//! the requests of the whole roll-out. So the share rises in steps, each on
//! evidence at the step before and only as far as it can be taken back within
//! the bound; it is held there until the last moment at which the roll-out can
//! still be completed, since a version may turn bad late.
#ifndef POMELOSWITCH_ROLLOUT_ROLLOUT_JUDGE_HPP
#define POMELOSWITCH_ROLLOUT_ROLLOUT_JUDGE_HPP

#include "pomeloswitch/rollout/version_comparison.hpp"
#include "pomeloswitch/settings/control_settings.hpp"
#include "pomeloswitch/state/rollout_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace pomelo {

//! The order, and what the service needs.
struct rollout_terms {
  std::chrono::milliseconds Duration{0};
  //! From the decision to complete until hosts and keys have followed.
  std::chrono::milliseconds CompletionTime{3000};
  exposure_bounds Exposure;
};

//! What is known of a roll-out at one moment. Counts are cumulative.
struct rollout_observation {
  std::chrono::milliseconds Elapsed{0}; //!< Since the order.
  std::uint64_t Requests = 0;           //!< Of all versions, since the order.
  std::uint64_t NewRequests = 0;        //!< Of the new version.
  std::span<const target_evidence> Evidence;
};

//! What is to be done with the roll-out.
struct rollout_verdict {
  rollout_stage Stage = rollout_stage::Running;
  double Share = 0;   //!< Of the requests, to the new version; 0 to 1.
  std::string Reason; //!< With the figures that decided.
};

//! Judges one roll-out. Uses no clock; deterministic. A judge that takes over
//! from another one starts from the share in force and gathers evidence anew.
class rollout_judge {
public:
  rollout_judge(rollout_terms Terms, double ShareInForce,
                comparison_limits Limits = {});

  //! Call at regular intervals, well under PeriodLength. Returns the decision
  //! now in force.
  rollout_verdict step(const rollout_observation &Observation);

  //! The versions are compared over periods of this length.
  static constexpr std::chrono::milliseconds PeriodLength{500};

private:
  [[nodiscard]] double budget(const rollout_observation &Observation) const;
  [[nodiscard]] double
  requestRate(const rollout_observation &Observation) const;
  [[nodiscard]] double firstShare(const rollout_observation &Observation) const;
  [[nodiscard]] bool rollBackIfBad();
  [[nodiscard]] bool affordable(double Share,
                                const rollout_observation &Observation) const;
  void raise(const rollout_observation &Observation,
             const comparison_result &Result);
  [[nodiscard]] std::chrono::duration<double> firstStepEnd() const;
  void endInTime(const rollout_observation &Observation);
  void begin(double Share, std::string Reason,
             const rollout_observation &Observation);
  void finish(rollout_stage Stage, std::string Reason);

  rollout_terms Terms;
  comparison_limits Limits;
  version_comparison Comparison;     //!< Since the roll-out began.
  version_comparison StepComparison; //!< Since the share was raised.
  rollout_verdict Verdict;
  std::chrono::milliseconds PeriodEndedAt{0};
  std::chrono::milliseconds StepBeganAt{0};
  bool Began = false;
  bool TakenOver = false; //!< From the judge of an earlier leader.
  std::optional<std::chrono::milliseconds> FirstStepAt;
};

} // namespace pomelo

#endif
