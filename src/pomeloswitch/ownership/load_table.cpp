#include "pomeloswitch/ownership/load_table.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <algorithm>
#include <numeric>

namespace pomelo {
namespace {

constexpr milliseconds Forgotten{4000};
//! Weight of the latest report in a target's moving average.
constexpr double Newest = 0.2;
//! Part of the mean load that a slot without requests counts for, since its
//! keys may be asked for at any time.
constexpr double IdleShare = 0.2;

} // namespace

void load_table::clear() {
  Hosts.clear();
  Seconds.clear();
}

void load_table::heard(const wire::heartbeat &Beat, mono_time Now) {
  for (const auto &Speed : Beat.speeds()) {
    const double Told = Speed.seconds();
    const auto [Place, Fresh] = Seconds.try_emplace(Speed.target_id(), Told);
    if (!Fresh)
      Place->second += Newest * (Told - Place->second);
  }
  if (Beat.loads().empty())
    return;
  host_loads &Host = Hosts[Beat.host_id()];
  Host.HeardAt = Now;
  Host.Rates.clear();
  for (const auto &Load : Beat.loads()) {
    auto &Rates = Host.Rates[Load.service()];
    const int Count = std::min(Load.slots_size(), Load.per_second_size());
    for (int Place = 0; Place < Count; ++Place)
      Rates[Load.slots(Place)] = Load.per_second(Place);
  }
}

bool load_table::known(std::string_view Service, mono_time Now) const {
  return std::any_of(Hosts.begin(), Hosts.end(), [&](const auto &Entry) {
    return Now - Entry.second.HeardAt < Forgotten &&
           Entry.second.Rates.contains(Service);
  });
}

std::vector<double> load_table::weights(std::string_view Service,
                                        std::size_t SlotCount,
                                        mono_time Now) const {
  std::vector<double> Weights(SlotCount, 0.0);
  for (const auto &[Id, Host] : Hosts) {
    const auto Rates = Host.Rates.find(Service);
    if (Now - Host.HeardAt >= Forgotten || Rates == Host.Rates.end())
      continue;
    for (const auto &[Slot, PerSecond] : Rates->second)
      if (Slot < SlotCount)
        Weights[Slot] += PerSecond;
  }
  const double Total = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  const double Idle =
      Total > 0 ? IdleShare * Total / static_cast<double>(SlotCount) : 1;
  for (double &Weight : Weights)
    Weight += Idle;
  return Weights;
}

double load_table::secondsOf(std::string_view TargetId) const {
  const auto Found = Seconds.find(TargetId);
  return Found == Seconds.end() ? 0 : Found->second;
}

} // namespace pomelo
