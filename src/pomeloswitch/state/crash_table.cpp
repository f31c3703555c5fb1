#include "pomeloswitch/state/crash_table.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

//! Crashes of different incarnations after which a request is refused.
constexpr std::size_t CrashesToRefuse = 2;

} // namespace

void crash_table::report(const wire::report_crash &Report,
                         std::uint64_t NowMs) {
  forgetOld(NowMs);
  suspect &Suspect = Suspects[Report.fingerprint()];
  Suspect.LastMs = NowMs;
  if (Suspect.Crashes.size() < CrashesToRefuse)
    Suspect.Crashes.insert(
        fmt::format("{}#{}", Report.target_id(), Report.incarnation()));
}

void crash_table::clear(const std::string &Fingerprint) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found != Suspects.end() && Found->second.Crashes.size() < CrashesToRefuse)
    Suspects.erase(Found);
}

bool crash_table::suspected(std::string_view Fingerprint) const {
  return Suspects.contains(Fingerprint);
}

bool crash_table::poisonous(std::string_view Fingerprint,
                            std::uint64_t NowMs) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() &&
         Found->second.Crashes.size() >= CrashesToRefuse &&
         !expired(Found->second, NowMs);
}

bool crash_table::expired(const suspect &Suspect, std::uint64_t NowMs) const {
  const bool Poison = Suspect.Crashes.size() >= CrashesToRefuse;
  return Suspect.LastMs + (Poison ? Limits.PoisonMs : Limits.SuspectMs) <=
         NowMs;
}

//! Makes room for one more: what has expired goes, then the oldest, suspects
//! before what is refused.
void crash_table::forgetOld(std::uint64_t NowMs) {
  std::erase_if(Suspects, [&](const suspect_map::value_type &Entry) {
    return expired(Entry.second, NowMs);
  });
  if (Suspects.size() < Limits.Requests)
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
