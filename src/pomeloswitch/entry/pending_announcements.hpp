//! Target announcements that have not been answered yet.
#ifndef POMELOSWITCH_ENTRY_PENDING_ANNOUNCEMENTS_HPP
#define POMELOSWITCH_ENTRY_PENDING_ANNOUNCEMENTS_HPP

#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <string>

namespace pomelo {

//! Holds announcements until they may be answered. An answer renews the
//! target's lease and lists its grants, so it is sent only after the leader has
//! recorded the announcement and this host has applied everything committed by
//! then. An older state could list slots that another target owns by now.
class pending_announcements {
public:
  struct entry {
    std::string ReportId;
    std::uint64_t Sequence = 0; //!< Heartbeat that carries the report.
    std::function<void()> OnReady;
    bool Recorded = false;
    std::uint64_t NeededIndex = 0; //!< Log index to apply; set once recorded.
    bool Ready = false;
  };
  using iterator = std::list<entry>::iterator;

  //! Adds an announcement; \p OnReady is called once it may be answered. The
  //! iterator stays valid until remove().
  iterator add(std::string ReportId, std::uint64_t Sequence,
               std::function<void()> OnReady);
  void remove(iterator Position) { Entries.erase(Position); }

  //! Marks the announcements in \p ReportIds that were sent with heartbeat
  //! \p Sequence or an earlier one as recorded by the leader, whose commit
  //! index was \p CommitIndex.
  void onRecorded(std::span<const std::string> ReportIds,
                  std::uint64_t Sequence, std::uint64_t CommitIndex);
  //! Completes recorded announcements once this host has applied \p Index.
  void onApplied(std::uint64_t Index);

private:
  std::list<entry> Entries;
};

} // namespace pomelo

#endif
