#include "pomeloswitch/ownership/load_table.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <algorithm>
#include <numeric>

namespace pomelo {
namespace {

constexpr milliseconds ReportLifetime{4000};
//! Weight of the latest report in a target's moving average of request time.
constexpr double LatestReportWeight = 0.2;
//! Fraction of the mean load that is added to every slot, because requests for
//! the keys of an idle slot may arrive at any time.
constexpr double IdleShare = 0.2;

} // namespace

void load_table::clear() {
  Hosts.clear();
  SecondsByTarget.clear();
}

void load_table::recordHeartbeat(const wire::heartbeat &Beat, mono_time Now) {
  for (const auto &Speed : Beat.speeds()) {
    const double Reported = Speed.seconds();
    const auto [Average, Inserted] =
        SecondsByTarget.try_emplace(Speed.target_id(), Reported);
    if (!Inserted)
      Average->second += LatestReportWeight * (Reported - Average->second);
  }
  if (Beat.loads().empty())
    return;
  host_loads &Host = Hosts[Beat.host_id()];
  Host.HeardAt = Now;
  Host.Rates.clear();
  for (const auto &Load : Beat.loads()) {
    auto &Rates = Host.Rates[Load.service()];
    const int Count = std::min(Load.slots_size(), Load.per_second_size());
    for (int Index = 0; Index < Count; ++Index)
      Rates.push_back({Load.slots(Index), Load.per_second(Index),
                       Index < Load.latest_per_second_size()
                           ? Load.latest_per_second(Index)
                           : Load.per_second(Index),
                       Load.slot_count()});
  }
}

bool load_table::hasLoads(std::string_view Service, mono_time Now) const {
  return std::any_of(Hosts.begin(), Hosts.end(), [&](const auto &Entry) {
    return Now - Entry.second.HeardAt < ReportLifetime &&
           Entry.second.Rates.contains(Service);
  });
}

//! Adds the rate of a slot to its parts, or to the whole that it is a part of:
//! a host may know the table as it was before or after a division.
void load_table::addRate(const slot_load &Load, double PerSecond,
                         std::vector<double> &Sums) {
  const std::size_t Known = Load.SlotCount == 0 ? Sums.size() : Load.SlotCount;
  if (Load.Slot >= Known)
    return;
  if (Sums.size() % Known == 0) {
    const std::size_t Parts = Sums.size() / Known;
    for (std::size_t Part = 0; Part < Parts; ++Part)
      Sums[Load.Slot * Parts + Part] += PerSecond / static_cast<double>(Parts);
  } else if (Known % Sums.size() == 0) {
    Sums[Load.Slot / (Known / Sums.size())] += PerSecond;
  }
}

std::vector<double> load_table::sumOf(float slot_load::*Rate,
                                      std::string_view Service,
                                      std::size_t SlotCount,
                                      mono_time Now) const {
  std::vector<double> Sums(SlotCount, 0.0);
  for (const auto &[Id, Host] : Hosts) {
    const auto Rates = Host.Rates.find(Service);
    if (Now - Host.HeardAt >= ReportLifetime || Rates == Host.Rates.end())
      continue;
    for (const slot_load &Load : Rates->second)
      addRate(Load, Load.*Rate, Sums);
  }
  return Sums;
}

std::vector<double> load_table::slotWeights(std::string_view Service,
                                            std::size_t SlotCount,
                                            mono_time Now) const {
  std::vector<double> Weights =
      sumOf(&slot_load::PerSecond, Service, SlotCount, Now);
  const double Total = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  const double IdleWeight =
      Total > 0 ? IdleShare * Total / static_cast<double>(SlotCount) : 1;
  for (double &Weight : Weights)
    Weight += IdleWeight;
  return Weights;
}

std::vector<double> load_table::latestRates(std::string_view Service,
                                            std::size_t SlotCount,
                                            mono_time Now) const {
  return sumOf(&slot_load::LatestPerSecond, Service, SlotCount, Now);
}

double load_table::requestSeconds(std::string_view TargetId) const {
  const auto Found = SecondsByTarget.find(TargetId);
  return Found == SecondsByTarget.end() ? 0 : Found->second;
}

} // namespace pomelo
