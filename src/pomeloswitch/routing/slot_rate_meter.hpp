//! Measures the request rate of each key slot at one traffic thread.
#ifndef POMELOSWITCH_ROUTING_SLOT_RATE_METER_HPP
#define POMELOSWITCH_ROUTING_SLOT_RATE_METER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelo {

//! Request rate of one key slot.
struct slot_rate {
  std::uint32_t Slot = 0;
  float PerSecond = 0;         //!< Requests per second, moving average.
  float LatestPerSecond = 0;   //!< The same, of the latest period alone.
  std::uint32_t SlotCount = 0; //!< Of the table that Slot is a number in.
};

//! Slot rates by service name.
using slot_rates = std::map<std::string, std::vector<slot_rate>>;

class slot_rate_meter {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! What was recorded for another number of slots of the service is dropped.
  void recordArrival(const std::string &Service, std::uint32_t Slot,
                     std::size_t SlotCount);

  //! Returns the rates of the busiest slots of each service. Each call ends a
  //! measuring period and updates the moving averages, so call it at regular
  //! intervals.
  slot_rates rates(time_point Now);

private:
  struct counter {
    std::uint32_t Arrivals = 0; //!< In the current period.
    float PerSecond = 0;
  };
  struct service_counters {
    std::size_t SlotCount = 0;
    std::map<std::uint32_t, counter> Slots;
  };
  std::map<std::string, service_counters> Counters;
  time_point PeriodStartedAt{};
};

} // namespace pomelo

#endif
