#include "pomeloswitch/routing/target_notices.hpp"

#include <algorithm>

namespace pomelo {

target_notices::incarnation_id
target_notices::idOf(const routing_target &Target) {
  return {Target.Member.TargetId, Target.Member.Incarnation};
}

bool target_notices::record(const routing_target &Target,
                            const target_notice &Notice, time_point Now) {
  if (Notice == target_notice())
    return false;
  entry &Entry = Entries[idOf(Target)];
  Entry.LastMemberAt = Now;
  target_notice &Known = Entry.Notice;
  const target_notice Before = Known;
  Known.Leaving |= Notice.Leaving;
  Known.WantsNothingUntil =
      std::max(Known.WantsNothingUntil, Notice.WantsNothingUntil);
  return !(Known == Before);
}

target_notice target_notices::of(const routing_target &Target) const {
  // Asked for each target and request, and mostly there is no notice at all.
  if (Entries.empty())
    return {};
  const auto Found = Entries.find(idOf(Target));
  return Found == Entries.end() ? target_notice() : Found->second.Notice;
}

void target_notices::retain(const routing_view &View, time_point Now) {
  for (auto &[Id, Entry] : Entries) {
    const auto Target = View.Targets.find(Id.first);
    if (Target != View.Targets.end() && idOf(*Target->second) == Id)
      Entry.LastMemberAt = Now;
  }
  std::erase_if(Entries, [Now](const auto &Item) {
    const entry &Entry = Item.second;
    return Entry.Notice.wantsRequests(Now) ||
           Now > Entry.LastMemberAt + MemoryTime;
  });
}

} // namespace pomelo
