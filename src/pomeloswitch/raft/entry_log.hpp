//! The part of the replicated log that is held in memory.
#ifndef POMELOSWITCH_RAFT_ENTRY_LOG_HPP
#define POMELOSWITCH_RAFT_ENTRY_LOG_HPP

#include "pomeloswitch/raft/raft_types.hpp"

#include <deque>

namespace pomelo {

//! Entries after a base; the base is the last entry that is no longer held.
class entry_log {
public:
  //! Drops everything and starts after \p Snapshot.
  void reset(const wire::raft_snapshot &Snapshot);

  //! Appends \p Entry; entries at or after its index are dropped first.
  void put(const wire::raft_entry &Entry);

  //! Drops entries up to \p Index, which becomes the base.
  void dropUpTo(std::uint64_t Index);

  [[nodiscard]] std::uint64_t firstIndex() const { return BaseIndex + 1; }
  [[nodiscard]] std::uint64_t lastIndex() const {
    return BaseIndex + Entries.size();
  }
  [[nodiscard]] std::uint64_t lastTerm() const {
    return Entries.empty() ? BaseTerm : Entries.back().term();
  }
  //! The term of the entry at \p Index, or nothing if it is not known.
  [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  //! The entry at \p Index, which must be held.
  [[nodiscard]] const wire::raft_entry &at(std::uint64_t Index) const {
    return Entries[static_cast<std::size_t>(Index - BaseIndex - 1)];
  }
  [[nodiscard]] std::size_t size() const { return Entries.size(); }
  [[nodiscard]] std::size_t bytes() const { return Bytes; }

  //! The latest configuration in the log; empty before the group is founded.
  [[nodiscard]] const wire::raft_config &config() const {
    return Configs.back().Config;
  }
  [[nodiscard]] std::uint64_t configIndex() const {
    return Configs.back().Index;
  }
  //! The configuration in force at \p Index, which must not be below the base.
  [[nodiscard]] const wire::raft_config &configAt(std::uint64_t Index) const;

private:
  struct placed_config {
    std::uint64_t Index = 0;
    wire::raft_config Config;
  };

  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::deque<wire::raft_entry> Entries;
  std::size_t Bytes = 0;
  std::deque<placed_config> Configs{placed_config()};
};

} // namespace pomelo

#endif
