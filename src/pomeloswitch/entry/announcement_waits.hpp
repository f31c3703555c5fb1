//! Announcements that wait until their answer may be given.
#ifndef POMELOSWITCH_ENTRY_ANNOUNCEMENT_WAITS_HPP
#define POMELOSWITCH_ENTRY_ANNOUNCEMENT_WAITS_HPP

#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <string>

namespace pomelo {

//! An answer renews its target's lease and names its grants. It may be given
//! once the leader has recorded the announcement and this host's state has
//! everything that was committed then: an older state could name slots that
//! have passed to another target meanwhile.
class announcement_waits {
public:
  struct entry {
    std::string ReportId;
    std::uint64_t Sequence = 0; //!< Of the heartbeat that carries it.
    std::function<void()> OnReady;
    bool Recorded = false;
    std::uint64_t NeededIndex = 0; //!< Once recorded.
    bool Ready = false;
  };
  using place = std::list<entry>::iterator;

  place add(std::string ReportId, std::uint64_t Sequence,
            std::function<void()> OnReady);
  void remove(place Place) { Entries.erase(Place); }

  //! The leader has recorded the reports of heartbeat \p Sequence, with
  //! everything up to \p CommitIndex committed.
  void recorded(std::span<const std::string> ReportIds, std::uint64_t Sequence,
                std::uint64_t CommitIndex);
  //! This host's state is at \p Index.
  void applied(std::uint64_t Index);

private:
  std::list<entry> Entries;
};

} // namespace pomelo

#endif
