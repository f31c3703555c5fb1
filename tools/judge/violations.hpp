//! Finds breaches of what must always hold, from journals and caller's log.
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

//! A time in which targets must get no new work.
struct drain {
  std::set<std::string> Targets;
  std::int64_t FromUs = 0; //!< Unix time at which it was accepted.
  std::int64_t ToUs = 0;   //!< Unix time at which it was taken back.
};

struct evidence {
  const journal &Journal;
  const std::vector<caller::outcome> &Outcomes;
  std::map<std::string, account_rate> Rates; //!< By account.
  std::vector<drain> Drains;
};

//! One kind of breach: its name, how often, and a few examples.
struct finding {
  std::string Name;
  std::uint64_t Count = 0;
  std::vector<std::string> Examples;
};

//! A target may start work for this long after a drain was accepted.
inline constexpr std::chrono::seconds DrainGrace{3};

//! One finding for each check, in a fixed order, with a count of 0 if all is
//! well:
//! - owners_overlapping: executions on one slot at a time at two targets
//! - tokens_reversed: a slot's execution under a token below an earlier one's
//! - duplicate_executions: a request that must not ran more than once
//! - lost_acknowledged: answered with success, but run by no target
//! - untrue_not_run: refused as not run, but run
//! - wrong_answers: answers that belong to another request
//! - work_after_drain: started later than DrainGrace after a drain
//! - foreign_account: run for an account that the caller did not send as
//! - credential_at_target: the caller's key reached a target
//! - over_rate: run beyond the account's rate and burst, all hosts together
//! - connection_breaches: connections beyond a target's number
std::vector<finding> findViolations(const evidence &Evidence);

} // namespace pomelo::judge

#endif
