#include "pomeloswitch/raft/entry_log.hpp"

namespace pomelo {

void entry_log::reset(const wire::raft_snapshot &Snapshot) {
  BaseIndex = Snapshot.index();
  BaseTerm = Snapshot.term();
  Entries.clear();
  Bytes = 0;
  Configs.assign(1, indexed_config{Snapshot.index(), Snapshot.config()});
}

void entry_log::truncateAndAppend(const wire::raft_entry &Entry) {
  while (!Entries.empty() && lastIndex() >= Entry.index()) {
    Bytes -= Entries.back().ByteSizeLong();
    Entries.pop_back();
  }
  while (Configs.size() > 1 && Configs.back().Index >= Entry.index())
    Configs.pop_back();
  Bytes += Entry.ByteSizeLong();
  Entries.push_back(Entry);
  if (Entry.has_config())
    Configs.push_back({Entry.index(), Entry.config()});
}

void entry_log::dropUpTo(std::uint64_t Index) {
  while (!Entries.empty() && BaseIndex < Index) {
    BaseIndex = Entries.front().index();
    BaseTerm = Entries.front().term();
    Bytes -= Entries.front().ByteSizeLong();
    Entries.pop_front();
  }
  while (Configs.size() > 1 && Configs[1].Index <= BaseIndex)
    Configs.pop_front();
}

std::optional<std::uint64_t> entry_log::termAt(std::uint64_t Index) const {
  if (Index == BaseIndex)
    return BaseTerm;
  if (Index < BaseIndex || Index > lastIndex())
    return std::nullopt;
  return at(Index).term();
}

const wire::raft_config &entry_log::configAt(std::uint64_t Index) const {
  auto Found = Configs.rbegin();
  while (std::next(Found) != Configs.rend() && Found->Index > Index)
    ++Found;
  return Found->Config;
}

} // namespace pomelo
