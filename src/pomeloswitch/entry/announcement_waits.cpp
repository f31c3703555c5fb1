#include "pomeloswitch/entry/announcement_waits.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {

announcement_waits::place
announcement_waits::add(std::string ReportId, std::uint64_t Sequence,
                        std::function<void()> OnReady) {
  entry Entry;
  Entry.ReportId = std::move(ReportId);
  Entry.Sequence = Sequence;
  Entry.OnReady = std::move(OnReady);
  return Entries.insert(Entries.end(), std::move(Entry));
}

void announcement_waits::recorded(std::span<const std::string> ReportIds,
                                  std::uint64_t Sequence,
                                  std::uint64_t CommitIndex) {
  for (entry &Entry : Entries) {
    const bool Named = std::find(ReportIds.begin(), ReportIds.end(),
                                 Entry.ReportId) != ReportIds.end();
    if (!Named || Sequence < Entry.Sequence || Entry.Recorded)
      continue;
    Entry.Recorded = true;
    Entry.NeededIndex = CommitIndex;
  }
}

void announcement_waits::applied(std::uint64_t Index) {
  for (entry &Entry : Entries) {
    if (!Entry.Recorded || Entry.Ready || Index < Entry.NeededIndex)
      continue;
    Entry.Ready = true;
    Entry.OnReady();
  }
}

} // namespace pomelo
