#include "pomeloswitch/control/state_feed.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/raft/replicated_log.hpp"
#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch/state/configuration_difference.hpp"
#include "pomeloswitch/wire/packing.hpp"
#include "pomeloswitch_wire/inner.pb.h"

namespace pomelo {
namespace {

//! Hosts that are further behind get configurations whole.
constexpr std::size_t MaxDifferences = 64;

const component_logger &log() {
  static const component_logger Log("control");
  return Log;
}

} // namespace

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

void state_feed::beforeApplying(std::uint64_t Index,
                                const wire::command &Command) {
  if (!Command.has_replace_configuration() ||
      Command.replace_configuration().number() <= State.configurationNumber())
    return;
  wire::command Sent = Command;
  try {
    *Sent.mutable_replace_configuration() =
        differenceFrom(State, Command.replace_configuration());
  } catch (const pomelo_error &Failure) {
    log().warn("The configuration at index {} is sent whole: {}.", Index,
               Failure.what());
    return;
  }
  Differences[Index] = Sent.SerializeAsString();
  if (Differences.size() > MaxDifferences)
    Differences.erase(Differences.begin());
}

std::optional<wire::log_batch> state_feed::next(feed_position &Position) {
  std::uint64_t &NextIndex = Position.NextIndex;
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
    const auto Difference = Differences.find(Entry.Index);
    const bool AsDifference =
        Position.AcceptsDifferences && Difference != Differences.end();
    Out->set_command(AsDifference ? Difference->second : Entry.Command);
    NextIndex = Entry.Index + 1;
  }
  if (Batch.entries_size() == 0)
    return std::nullopt;
  return Batch;
}

} // namespace pomelo
