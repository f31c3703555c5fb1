#include "pomeloswitch/control/state_feed.hpp"

#include "pomeloswitch/raft/replicated_log.hpp"
#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch/wire/packing.hpp"
#include "pomeloswitch_wire/inner.pb.h"

namespace pomelo {

std::optional<std::vector<committed_entry>>
state_feed::entriesToNewest(std::uint64_t First) const {
  if (State.index() + 1 - First > MaxEntriesBehind)
    return std::nullopt;
  auto Entries = Log.entriesFrom(First, BatchBytes);
  if (Entries && !Entries->empty() && Entries->back().Index < State.index())
    return std::nullopt;
  return Entries;
}

//! A snapshot is used again as long as the entries after it fit one message.
void state_feed::packSnapshot() {
  if (PackedIndex > 0 && PackedIndex <= State.index() &&
      entriesToNewest(PackedIndex + 1))
    return;
  Packed = packMessage(State.toSnapshot());
  PackedIndex = State.index();
}

std::optional<wire::log_batch> state_feed::next(std::uint64_t &NextIndex) {
  if (NextIndex > State.index())
    return std::nullopt;
  wire::log_batch Batch;
  Batch.set_commit_index(Log.commitIndex());
  Batch.set_leader_id(Log.leaderId());
  const auto Entries = entriesToNewest(NextIndex);
  if (!Entries) {
    packSnapshot();
    Batch.set_packed_snapshot(Packed);
    NextIndex = PackedIndex + 1;
    return Batch;
  }
  for (const committed_entry &Entry : *Entries) {
    if (Entry.Index > State.index())
      break;
    auto *Out = Batch.add_entries();
    Out->set_index(Entry.Index);
    Out->set_command(Entry.Command);
    NextIndex = Entry.Index + 1;
  }
  if (Batch.entries_size() == 0)
    return std::nullopt;
  return Batch;
}

} // namespace pomelo
