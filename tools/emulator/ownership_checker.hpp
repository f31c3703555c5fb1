//! Checks in the targets' journals that each slot had one owner at a time.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_OWNERSHIP_CHECKER_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_OWNERSHIP_CHECKER_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo::emulator {

//! One request that a target ran.
struct execution {
  std::string TargetId;
  std::string Path;
  std::string Slot; //!< Empty if the request was not keyed.
  std::uint64_t Token = 0;
  std::int64_t StartUs = 0; //!< Unix time, microseconds.
  std::int64_t EndUs = 0;   //!< 0 if no end was journaled.
};

//! Reads one target's journal; skips lines that are not valid JSON, such as a
//! line truncated by a kill.
std::vector<execution> readJournal(const std::string &File);

//! Returns the longest time, in microseconds, for which a request on the
//! target counts as running.
using execution_limit = std::function<std::int64_t(std::string_view TargetId)>;

//! Returns one line for each violation of "one owner at a time":
//! - a request that started under a token below one already used for its slot;
//! - a token used by two targets;
//! - requests of one slot that overlap on two targets. A request counts as
//!   running for at most execution_limit: after that its target was frozen and
//!   the deadline or lease has expired.
std::vector<std::string>
findOwnershipViolations(std::vector<execution> Executions,
                        const execution_limit &ExecutionLimit);

} // namespace pomelo::emulator

#endif
