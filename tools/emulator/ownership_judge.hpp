//! Judges from the targets' journals whether each slot had one owner.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_OWNERSHIP_JUDGE_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_OWNERSHIP_JUDGE_HPP

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
  std::int64_t EndUs = 0;   //!< 0 if the target ended first.
};

//! Reads one target's journal; a line cut off by a kill is left out.
std::vector<execution> readJournal(const std::string &File);

//! Microseconds that a request on the target counts at most.
using counted_time = std::function<std::int64_t(std::string_view TargetId)>;

//! What breaks "one owner at a time", one line each:
//! - a request that started under a token below one already used for its slot;
//! - a token used by two targets;
//! - requests of one slot that overlap on two targets. A request counts for at
//!   most counted_time after its start: beyond that its target was frozen, and
//!   its deadline or lease has passed.
std::vector<std::string> judgeOwnership(std::vector<execution> Executions,
                                        const counted_time &CountedTime);

} // namespace pomelo::emulator

#endif
