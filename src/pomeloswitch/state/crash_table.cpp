#include "pomeloswitch/state/crash_table.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

//! Number of crashed incarnations that makes a request poison.
constexpr std::size_t PoisonThreshold = 2;

} // namespace

void crash_table::report(const wire::report_crash &Report,
                         std::uint64_t NowMs) {
  makeRoom(NowMs);
  suspect &Suspect = Suspects[Report.fingerprint()];
  Suspect.LastMs = NowMs;
  if (Suspect.Crashes.size() < PoisonThreshold)
    Suspect.Crashes.insert(
        fmt::format("{}#{}", Report.target_id(), Report.incarnation()));
}

void crash_table::clear(const std::string &Fingerprint) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found != Suspects.end() && Found->second.Crashes.size() < PoisonThreshold)
    Suspects.erase(Found);
}

bool crash_table::hasCrashed(std::string_view TargetId,
                             std::uint64_t Incarnation) const {
  const std::string Crash = fmt::format("{}#{}", TargetId, Incarnation);
  return std::any_of(Suspects.begin(), Suspects.end(),
                     [&](const suspect_map::value_type &Entry) {
                       return Entry.second.Crashes.contains(Crash);
                     });
}

bool crash_table::isSuspect(std::string_view Fingerprint) const {
  return Suspects.contains(Fingerprint);
}

bool crash_table::isPoison(std::string_view Fingerprint,
                           std::uint64_t NowMs) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() &&
         Found->second.Crashes.size() >= PoisonThreshold &&
         !isExpired(Found->second, NowMs);
}

bool crash_table::isExpired(const suspect &Suspect, std::uint64_t NowMs) const {
  const bool Poison = Suspect.Crashes.size() >= PoisonThreshold;
  return Suspect.LastMs +
             (Poison ? Limits.PoisonRetentionMs : Limits.SuspectRetentionMs) <=
         NowMs;
}

//! Makes room for one more request: removes the expired ones and, if the table
//! is still full, the oldest suspect, or the oldest poison request if there is
//! no suspect.
void crash_table::makeRoom(std::uint64_t NowMs) {
  std::erase_if(Suspects, [&](const suspect_map::value_type &Entry) {
    return isExpired(Entry.second, NowMs);
  });
  if (Suspects.size() < Limits.MaxRequests)
    return;
  const auto Rank = [](const suspect_map::value_type &Entry) {
    return std::pair(Entry.second.Crashes.size(), Entry.second.LastMs);
  };
  Suspects.erase(std::min_element(Suspects.begin(), Suspects.end(),
                                  [&](const auto &Left, const auto &Right) {
                                    return Rank(Left) < Rank(Right);
                                  }));
}

void crash_table::writeTo(wire::state_snapshot &Snapshot) const {
  for (const auto &[Fingerprint, Suspect] : Suspects) {
    auto *Record = Snapshot.add_crashes();
    Record->set_fingerprint(Fingerprint);
    Record->set_last_ms(Suspect.LastMs);
    for (const std::string &Crash : Suspect.Crashes)
      Record->add_targets(Crash);
  }
}

crash_table crash_table::readFrom(const wire::state_snapshot &Snapshot) {
  crash_table Table;
  for (const auto &Record : Snapshot.crashes()) {
    suspect &Suspect = Table.Suspects[Record.fingerprint()];
    Suspect.LastMs = Record.last_ms();
    Suspect.Crashes.insert(Record.targets().begin(), Record.targets().end());
  }
  return Table;
}

} // namespace pomelo
