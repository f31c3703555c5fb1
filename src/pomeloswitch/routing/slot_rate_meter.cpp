#include "pomeloswitch/routing/slot_rate_meter.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! Weight of the latest period in the moving average.
constexpr float NewestWeight = 0.4F;
//! Slots below this rate are removed, requests/s.
constexpr float MinTrackedRate = 0.05F;
constexpr std::size_t MaxReportedSlots = 128; //!< Per service.

} // namespace

void slot_rate_meter::recordArrival(const std::string &Service,
                                    std::uint32_t Slot, std::size_t SlotCount) {
  service_counters &OfService = Counters[Service];
  if (OfService.SlotCount != SlotCount)
    OfService = {SlotCount, {}};
  ++OfService.Slots[Slot].Arrivals;
}

slot_rates slot_rate_meter::rates(time_point Now) {
  const std::chrono::duration<float> Period = Now - PeriodStartedAt;
  const float Seconds = std::clamp(Period.count(), 0.1F, 10.0F);
  PeriodStartedAt = Now;
  slot_rates Result;
  for (auto &[Service, OfService] : Counters) {
    auto &Slots = OfService.Slots;
    auto &Rates = Result[Service];
    for (auto &[Slot, Counter] : Slots) {
      const float CurrentRate = static_cast<float>(Counter.Arrivals) / Seconds;
      Counter.PerSecond += NewestWeight * (CurrentRate - Counter.PerSecond);
      Counter.Arrivals = 0;
      Rates.push_back({Slot, Counter.PerSecond, CurrentRate,
                       static_cast<std::uint32_t>(OfService.SlotCount)});
    }
    std::erase_if(Slots, [](const auto &Entry) {
      return Entry.second.PerSecond < MinTrackedRate;
    });
    std::sort(Rates.begin(), Rates.end(),
              [](const slot_rate &Left, const slot_rate &Right) {
                return Left.PerSecond > Right.PerSecond;
              });
    if (Rates.size() > MaxReportedSlots)
      Rates.resize(MaxReportedSlots);
  }
  return Result;
}

} // namespace pomelo
