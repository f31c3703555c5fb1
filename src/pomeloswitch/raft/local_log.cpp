#include "pomeloswitch/raft/local_log.hpp"

namespace pomelo {

void local_log::start(applier NewApplier) {
  Applier = std::move(NewApplier);
  Applier.OnLeadership(true);
}

void local_log::propose(std::string Command, completion Done) {
  Entries.push_back(std::move(Command));
  Applier.OnCommitted({Entries.size(), Entries.back()});
  Done({std::nullopt, Entries.size()});
}

std::optional<std::vector<committed_entry>>
local_log::entriesFrom(std::uint64_t First, std::size_t MaxBytes) const {
  std::vector<committed_entry> Result;
  std::size_t Bytes = 0;
  for (std::uint64_t Index = First; Index <= Entries.size(); ++Index) {
    Result.push_back({Index, Entries[Index - 1]});
    Bytes += Result.back().Command.size();
    if (Bytes >= MaxBytes)
      break;
  }
  return Result;
}

std::vector<control_member> local_log::members() const {
  return {{HostId, {}, true, {}, Entries.size()}};
}

std::uint64_t local_log::addMember(const host_address &, const std::string &) {
  throw pomelo_error(error_kind::InvalidChange,
                     "an in-process log always has exactly one member");
}

std::uint64_t local_log::removeMember(const std::string &) {
  throw pomelo_error(error_kind::InvalidChange,
                     "an in-process log always has exactly one member");
}

} // namespace pomelo
