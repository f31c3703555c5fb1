#include "pomeloswitch/retry/crash_detector.hpp"

#include <unordered_map>
#include <utility>

namespace pomelo {
namespace {

constexpr std::chrono::seconds ConfirmationPeriod{10};
constexpr std::size_t MaxPendingReports = 1024;

//! The members at some addresses, by address. An address has one member.
using occupant_map = std::unordered_map<std::string, const target_member *>;

const routing_target *find(const routing_view &View, const std::string &Id) {
  const auto Found = View.Targets.find(Id);
  return Found == View.Targets.end() ? nullptr : Found->second.get();
}

//! Whether the target may end by plan.
bool isTakenOut(const routing_target *Same, const target_member &Lost) {
  return Same && Same->Member.Incarnation == Lost.Incarnation &&
         !Same->AcceptsNewWork;
}

//! Each start of a target may bring a new id. Another service at the address
//! does not tell how the target there ended.
bool hasRestarted(const routing_target *Same, const target_member *Occupant,
                  const target_member &Lost) {
  if (Same && Same->Member.Incarnation != Lost.Incarnation)
    return true;
  return Occupant && Occupant->Service == Lost.Service &&
         Occupant->StartedMs > Lost.StartedMs;
}

} // namespace

void crash_detector::add(crash_report Report, const target_member &Lost,
                         time_point Now) {
  if (Pending.size() >= MaxPendingReports)
    Pending.pop_front();
  Pending.push_back({std::move(Report), Lost, Now});
}

void crash_detector::discard(std::string_view Fingerprint) {
  std::erase_if(Pending, [Fingerprint](const suspected_crash &Item) {
    return Item.Report.Fingerprint == Fingerprint;
  });
}

void crash_detector::answered(const target_member &Target, time_point SentAt) {
  std::erase_if(Pending, [&](const suspected_crash &Item) {
    return Item.LostAt < SentAt && Item.Lost.TargetId == Target.TargetId &&
           Item.Lost.Incarnation == Target.Incarnation;
  });
}

std::vector<crash_report>
crash_detector::takeConfirmedCrashes(const routing_view &View, time_point Now) {
  std::vector<crash_report> Confirmed;
  if (Pending.empty())
    return Confirmed;
  occupant_map Occupants;
  for (const suspected_crash &Item : Pending)
    Occupants.emplace(Item.Lost.Address, nullptr);
  for (const auto &[Id, Target] : View.Targets)
    if (const auto Place = Occupants.find(Target->Member.Address);
        Place != Occupants.end())
      Place->second = &Target->Member;
  std::erase_if(Pending, [&](const suspected_crash &Item) {
    const routing_target *Same = find(View, Item.Lost.TargetId);
    if (Now >= Item.LostAt + ConfirmationPeriod || isTakenOut(Same, Item.Lost))
      return true;
    if (!hasRestarted(Same, Occupants.at(Item.Lost.Address), Item.Lost))
      return false;
    Confirmed.push_back(Item.Report);
    return true;
  });
  return Confirmed;
}

} // namespace pomelo
