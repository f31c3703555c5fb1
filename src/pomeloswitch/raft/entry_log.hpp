//! The in-memory suffix of the replicated log.
#ifndef POMELOSWITCH_RAFT_ENTRY_LOG_HPP
#define POMELOSWITCH_RAFT_ENTRY_LOG_HPP

#include "pomeloswitch/raft/raft_types.hpp"

#include <deque>

namespace pomelo {

//! Holds the log entries after a base entry. Of the base, the last entry that
//! was compacted away, only index and term are stored.
class entry_log {
public:
  //! Discards all entries and sets the base to the entry that \p Snapshot
  //! covers last.
  void reset(const wire::raft_snapshot &Snapshot);

  //! Removes all entries at or after the index of \p Entry, then appends it.
  void truncateAndAppend(const wire::raft_entry &Entry);

  //! Removes entries up to and including \p Index, which becomes the base.
  void dropUpTo(std::uint64_t Index);

  [[nodiscard]] std::uint64_t firstIndex() const { return BaseIndex + 1; }
  [[nodiscard]] std::uint64_t lastIndex() const {
    return BaseIndex + Entries.size();
  }
  [[nodiscard]] std::uint64_t lastTerm() const {
    return Entries.empty() ? BaseTerm : Entries.back().term();
  }
  //! Returns the term of the entry at \p Index, or nullopt if \p Index is below
  //! the base or after the last entry.
  [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  //! Returns the entry at \p Index, which must be between firstIndex() and
  //! lastIndex().
  [[nodiscard]] const wire::raft_entry &at(std::uint64_t Index) const {
    return Entries[static_cast<std::size_t>(Index - BaseIndex - 1)];
  }
  [[nodiscard]] std::size_t size() const { return Entries.size(); }
  [[nodiscard]] std::size_t bytes() const { return Bytes; }

  //! Returns the latest configuration in the log, committed or not. Empty
  //! before the group is bootstrapped.
  [[nodiscard]] const wire::raft_config &config() const {
    return Configs.back().Config;
  }
  [[nodiscard]] std::uint64_t configIndex() const {
    return Configs.back().Index;
  }
  //! Returns the configuration in force at \p Index, which must not be below
  //! the base.
  [[nodiscard]] const wire::raft_config &configAt(std::uint64_t Index) const;

private:
  struct indexed_config {
    std::uint64_t Index = 0;
    wire::raft_config Config;
  };

  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::deque<wire::raft_entry> Entries;
  std::size_t Bytes = 0;
  std::deque<indexed_config> Configs{indexed_config()};
};

} // namespace pomelo

#endif
