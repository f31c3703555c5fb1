//! What stand-in targets wrote down of the requests they ran.
#ifndef POMELOSWITCH_TOOLS_JUDGE_JOURNAL_HPP
#define POMELOSWITCH_TOOLS_JUDGE_JOURNAL_HPP

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pomelo::judge {

//! One execution of a request at a target.
struct execution {
  std::string Target;
  std::string Service;
  std::string RequestId;
  std::string Account;
  std::string Path;
  std::optional<std::uint32_t> Slot; //!< On services divided by key.
  std::uint64_t Token = 0;
  bool SawCredential = false; //!< The caller's key reached the target.
  std::int64_t StartUs = 0;   //!< Unix time.
  std::int64_t EndUs = 0;     //!< The last sign of the process if it died.
  bool Ended = false;
  bool Cancelled = false;
};

struct journal {
  std::vector<execution> Executions;
  std::uint64_t ConnectionBreaches = 0; //!< More connections than announced.

  //! Adds the events of one target's journal; a torn last line is ignored.
  void read(std::istream &In);
};

//! Reads the journals of the given files; a missing one counts as empty.
journal readJournals(std::span<const std::string> Files);

} // namespace pomelo::judge

#endif
