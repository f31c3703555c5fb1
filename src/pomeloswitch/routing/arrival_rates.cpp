#include "pomeloswitch/routing/arrival_rates.hpp"

#include <algorithm>
#include <cmath>

namespace pomelo {

double arrival_rates::decayed(const counter &Counter, time_point Now) {
  const std::chrono::duration<double> Age =
      std::max(time_point::duration(0), Now - Counter.UpdatedAt);
  const std::chrono::duration<double> Constant = DecayTime;
  return Counter.Arrivals * std::exp(-Age.count() / Constant.count());
}

void arrival_rates::recordArrival(std::string_view Service, time_point Now) {
  auto Found = Counters.find(Service);
  if (Found == Counters.end())
    Found = Counters.emplace(Service, counter{}).first;
  counter &Counter = Found->second;
  Counter.Arrivals = decayed(Counter, Now) + 1;
  Counter.UpdatedAt = Now;
}

double arrival_rates::perSecond(std::string_view Service,
                                time_point Now) const {
  const auto Found = Counters.find(Service);
  if (Found == Counters.end())
    return 0;
  const std::chrono::duration<double> Constant = DecayTime;
  return decayed(Found->second, Now) / Constant.count();
}

} // namespace pomelo
