#include "pomeloswitch/sending/subset_monitor.hpp"

#include <optional>
#include <utility>

namespace pomelo {
namespace {

target_predicates predicatesOf(const send_state &State,
                               subset_monitor::time_point Now) {
  return {[&State, Now](const routing_target &Target) {
            return State.Notices.of(Target).wantsRequests(Now) &&
                   State.Statistics.usable(Target, Now);
          },
          [&State, Now](const routing_target &Target) {
            return !State.isCold(Target, Now);
          },
          [](const routing_target &) { return true; }};
}

//! Returns why the target cannot be used, or nothing if it can.
std::optional<subset_reason> whyUnusable(const routing_target &Target,
                                         const routing_view &View,
                                         const send_state &State,
                                         subset_monitor::time_point Now) {
  const auto Found = View.Targets.find(Target.Member.TargetId);
  if (Found == View.Targets.end() ||
      Found->second->Member.Incarnation != Target.Member.Incarnation)
    return subset_reason::NotMember;
  if (!Found->second->AcceptsNewWork)
    return subset_reason::AcceptsNoWork;
  if (!State.Notices.of(Target).wantsRequests(Now))
    return subset_reason::Unwanted;
  if (!State.Statistics.usable(Target, Now))
    return subset_reason::BackedOff;
  return std::nullopt;
}

} // namespace

std::string_view nameOf(subset_reason Reason) {
  switch (Reason) {
  case subset_reason::NotMember:
    return "not_member";
  case subset_reason::AcceptsNoWork:
    return "accepts_no_work";
  case subset_reason::Unwanted:
    return "unwanted";
  case subset_reason::BackedOff:
    return "backed_off";
  case subset_reason::UsableAgain:
    return "usable_again";
  case subset_reason::Replaces:
    return "replaces";
  case subset_reason::Size:
    return "size";
  case subset_reason::Ring:
    return "ring";
  }
  return "unknown";
}

void subset_monitor::compare(const std::string &Service, subset &Before,
                             subset &After, const routing_view &View,
                             const send_state &State, time_point Now,
                             std::vector<subset_change> &Changes) {
  const bool Resized = Before.WantedSize != After.WantedSize;
  const subset_reason Moved =
      Resized ? subset_reason::Size : subset_reason::Ring;
  bool Vacated = false;
  After.Unusable = std::move(Before.Unusable);
  for (const auto &[Id, Target] : Before.Members) {
    if (After.Members.contains(Id))
      continue;
    const auto Unusable = whyUnusable(*Target, View, State, Now);
    if (Unusable)
      After.Unusable[Id] = *Unusable;
    Vacated |= Unusable.has_value();
    Changes.push_back({Service, Id, false, Unusable.value_or(Moved)});
  }
  for (const auto &[Id, Target] : After.Members) {
    if (Before.Members.contains(Id))
      continue;
    const bool Again = After.Unusable.erase(Id) > 0;
    Changes.push_back({Service, Id, true,
                       Again     ? subset_reason::UsableAgain
                       : Vacated ? subset_reason::Replaces
                                 : Moved});
  }
  std::erase_if(After.Unusable, [&View](const auto &Entry) {
    return !View.Targets.contains(Entry.first);
  });
}

std::vector<subset_change> subset_monitor::observe(const routing_view &View,
                                                   const send_state &State,
                                                   time_point Now) {
  std::vector<subset_change> Changes;
  std::map<std::string, subset, std::less<>> Latest;
  for (const auto &[Name, Service] : View.Services) {
    const std::size_t Size =
        subsetSize(State.Arrivals.perSecond(Name, Now), Service.Targets.size(),
                   View.EntryHosts);
    if (Service.Slots || Size >= Service.Targets.size())
      continue;
    subset &After = Latest[Name];
    After.WantedSize = Size;
    for (const routing_target_ptr &Target : subsetMembers(
             Service, View.RingPosition, Size, {}, predicatesOf(State, Now)))
      After.Members.emplace(Target->Member.TargetId, Target);
    compare(Name, Subsets[Name], After, View, State, Now, Changes);
  }
  Subsets = std::move(Latest);
  return Changes;
}

std::map<std::string, std::size_t> subset_monitor::sizes() const {
  std::map<std::string, std::size_t> Sizes;
  for (const auto &[Name, Subset] : Subsets)
    Sizes[Name] = Subset.Members.size();
  return Sizes;
}

} // namespace pomelo
