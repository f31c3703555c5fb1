#include "pomeloswitch/entry/pending_announcements.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {

pending_announcements::iterator
pending_announcements::add(std::string ReportId, std::uint64_t Sequence,
                           std::function<void()> OnReady) {
  entry Entry;
  Entry.ReportId = std::move(ReportId);
  Entry.Sequence = Sequence;
  Entry.OnReady = std::move(OnReady);
  return Entries.insert(Entries.end(), std::move(Entry));
}

void pending_announcements::onRecorded(std::span<const std::string> ReportIds,
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

void pending_announcements::onApplied(std::uint64_t Index) {
  for (entry &Entry : Entries) {
    if (!Entry.Recorded || Entry.Ready || Index < Entry.NeededIndex)
      continue;
    Entry.Ready = true;
    Entry.OnReady();
  }
}

} // namespace pomelo
