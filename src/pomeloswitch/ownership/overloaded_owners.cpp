#include "pomeloswitch/ownership/overloaded_owners.hpp"

#include "pomeloswitch/routing/target_statistics.hpp"

#include <algorithm>
#include <map>

namespace pomelo {
namespace {

//! An owner is limited above this multiple of what it can do: below, chance
//! alone explains the rate of one period, and each host's window suffices.
constexpr double OverloadFactor = 1.5;

//! Whether the least windows of all entry hosts together keep the target within
//! its slots.
bool boundByWindows(const cluster_state &State, const target_member &Target) {
  const double LeastWindow = target_statistics_limits().MinWindow;
  return static_cast<double>(State.entryHosts().size()) * LeastWindow <=
         Target.Slots;
}

//! Returns the mean time of a request at the targets of a service, s; 0 if it
//! is not known of any.
double averageSeconds(const cluster_state &State, const load_table &Loads,
                      std::string_view Service) {
  double Sum = 0;
  unsigned Known = 0;
  for (const auto &[Id, Target] : State.targets()) {
    const double Seconds =
        Target.Service == Service ? Loads.requestSeconds(Id) : 0;
    Sum += Seconds;
    Known += Seconds > 0 ? 1 : 0;
  }
  return Known == 0 ? 0 : Sum / Known;
}

//! Returns the requests per second for the keys of each owner.
std::map<std::string_view, double>
ratesOfOwners(const slot_table &Slots, std::span<const double> Rates) {
  std::map<std::string_view, double> Sums;
  for (std::size_t Number = 0; Number < Slots.size(); ++Number)
    if (Rates[Number] > 0 && Slots[Number].Phase == slot_phase::Active)
      Sums[Slots[Number].Owner] += Rates[Number];
  return Sums;
}

void addOverloaded(const cluster_state &State, const load_table &Loads,
                   const std::string &Service, mono_time Now,
                   std::vector<owner_share> &Shares) {
  const auto Slots = State.sharedSlots(Service);
  const double Average = averageSeconds(State, Loads, Service);
  if (!Slots || Average == 0)
    return;
  const std::vector<double> Rates =
      Loads.latestRates(Service, Slots->size(), Now);
  for (const auto &[Owner, PerSecond] : ratesOfOwners(*Slots, Rates)) {
    const auto Target = State.targets().find(Owner);
    if (Target == State.targets().end() ||
        boundByWindows(State, Target->second))
      continue;
    const double Known = Loads.requestSeconds(Owner);
    const double Capacity = std::max<std::uint32_t>(1, Target->second.Slots) /
                            (Known > 0 ? Known : Average);
    if (PerSecond > OverloadFactor * Capacity)
      Shares.push_back({std::string(Owner), Capacity / PerSecond});
  }
}

} // namespace

std::vector<owner_share> findOverloadedOwners(const cluster_state &State,
                                              const load_table &Loads,
                                              mono_time Now) {
  std::vector<owner_share> Shares;
  for (const std::string &Service : State.servicesWithSlots())
    addOverloaded(State, Loads, Service, Now, Shares);
  std::sort(Shares.begin(), Shares.end(),
            [](const owner_share &Left, const owner_share &Right) {
              return Left.Share < Right.Share;
            });
  if (Shares.size() > MaxOverloadedOwners)
    Shares.resize(MaxOverloadedOwners);
  return Shares;
}

} // namespace pomelo
