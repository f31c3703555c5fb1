#include "pomeloswitch/routing/slot_meter.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! Weight of the latest period.
constexpr float Newest = 0.4F;
//! Slots below this rate, 1/s, are not worth telling.
constexpr float Negligible = 0.05F;
constexpr std::size_t MostTold = 128; //!< Slots of one service.

} // namespace

void slot_meter::arrived(const std::string &Service, std::uint32_t Slot) {
  ++Counters[Service][Slot].Arrived;
}

slot_rates slot_meter::rates(time_point Now) {
  const std::chrono::duration<float> Period = Now - PeriodBegan;
  const float Seconds = std::clamp(Period.count(), 0.1F, 10.0F);
  PeriodBegan = Now;
  slot_rates Told;
  for (auto &[Service, Slots] : Counters) {
    auto &Rates = Told[Service];
    for (auto &[Slot, Counter] : Slots) {
      const float Latest = static_cast<float>(Counter.Arrived) / Seconds;
      Counter.PerSecond += Newest * (Latest - Counter.PerSecond);
      Counter.Arrived = 0;
      Rates.push_back({Slot, Counter.PerSecond});
    }
    std::erase_if(Slots, [](const auto &Entry) {
      return Entry.second.PerSecond < Negligible;
    });
    std::sort(Rates.begin(), Rates.end(),
              [](const slot_rate &Left, const slot_rate &Right) {
                return Left.PerSecond > Right.PerSecond;
              });
    if (Rates.size() > MostTold)
      Rates.resize(MostTold);
  }
  return Told;
}

} // namespace pomelo
