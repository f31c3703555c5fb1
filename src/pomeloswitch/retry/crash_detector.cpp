#include "pomeloswitch/retry/crash_detector.hpp"

#include <utility>

namespace pomelo {
namespace {

constexpr std::chrono::seconds ConfirmationPeriod{10};
constexpr std::size_t MaxPendingReports = 1024;

bool isNewIncarnation(const routing_view &View, const crash_report &Report) {
  const auto Target = View.Targets.find(Report.TargetId);
  return Target != View.Targets.end() &&
         Target->second->Member.Incarnation != Report.Incarnation;
}

} // namespace

void crash_detector::add(crash_report Report, time_point Now) {
  if (Pending.size() >= MaxPendingReports)
    Pending.pop_front();
  Pending.push_back({std::move(Report), Now + ConfirmationPeriod});
}

std::vector<crash_report>
crash_detector::takeConfirmedCrashes(const routing_view &View, time_point Now) {
  std::vector<crash_report> Confirmed;
  std::erase_if(Pending, [&](const suspected_crash &Item) {
    if (Now >= Item.ExpiresAt)
      return true;
    if (!isNewIncarnation(View, Item.Report))
      return false;
    Confirmed.push_back(Item.Report);
    return true;
  });
  return Confirmed;
}

} // namespace pomelo
