//! Finds violated invariants in the targets' journals and the caller's
//! outcomes.
#ifndef POMELOSWITCH_TOOLS_JUDGE_VIOLATIONS_HPP
#define POMELOSWITCH_TOOLS_JUDGE_VIOLATIONS_HPP

#include "caller/outcome.hpp"
#include "judge/journal.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace pomelo::judge {

struct account_rate {
  double PerSecond = 0;
  double Burst = 0;
};

//! A period in which targets must get no new work.
struct drain {
  std::set<std::string> Targets;
  std::int64_t FromUs = 0; //!< Unix time at which it was accepted.
  std::int64_t ToUs = 0;   //!< Unix time at which it was ended.
};

struct evidence {
  const journal &Journal;
  const std::vector<caller::outcome> &Outcomes;
  std::map<std::string, account_rate> Rates; //!< By account.
  std::vector<drain> Drains;
};

//! The result of one check: its name, the number of violations and a few
//! examples.
struct finding {
  std::string Name;
  std::uint64_t Count = 0;
  std::vector<std::string> Examples;
};

//! How long a target may still start work after a drain was accepted.
inline constexpr std::chrono::seconds DrainGrace{3};

//! Returns one finding for each check, in a fixed order, with a count of 0 if
//! there is no violation:
//! - owners_overlapping: executions on one slot at two targets at the same time
//! - tokens_reversed: a slot's execution with a lower fencing token than
//!   an earlier one
//! - duplicate_executions: a non-idempotent request ran more than once
//! - lost_acknowledged: answered with success but run by no target
//! - untrue_not_run: reported as not run, but run
//! - wrong_answers: answers that do not match the request
//! - work_after_drain: started more than DrainGrace after a drain
//! - foreign_account: run for another account than the caller's
//! - credential_at_target: the caller's key reached a target
//! - over_rate: run beyond the account's rate and burst, over all hosts
//! - connection_breaches: connections beyond a target's announced limit
std::vector<finding> findViolations(const evidence &Evidence);

} // namespace pomelo::judge

#endif
