//! The executions and events recorded in the journals of stand-in targets.
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
  std::optional<std::uint32_t> Slot; //!< Set for services divided by key.
  std::uint64_t Token = 0;
  bool ReceivedCredential = false; //!< The caller's key reached the target.
  std::int64_t StartUs = 0;        //!< Unix time.
  std::int64_t EndUs = 0;          //!< The process's last event if it died.
  bool Ended = false;
  bool Cancelled = false;
};

struct journal {
  std::vector<execution> Executions;
  std::uint64_t ConnectionBreaches =
      0; //!< Connections beyond the announced limit.

  //! Adds the events of one target's journal. Skips lines that are not JSON
  //! objects, such as an incomplete last line.
  void read(std::istream &In);
};

//! Reads the given journal files; a missing file counts as empty.
journal readJournals(std::span<const std::string> Files);

} // namespace pomelo::judge

#endif
