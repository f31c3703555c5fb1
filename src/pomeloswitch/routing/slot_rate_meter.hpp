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
  float PerSecond = 0;       //!< Requests per second, moving average.
  float LatestPerSecond = 0; //!< The same, of the latest period alone.
};

//! Slot rates by service name.
using slot_rates = std::map<std::string, std::vector<slot_rate>>;

class slot_rate_meter {
public:
  using time_point = std::chrono::steady_clock::time_point;

  void recordArrival(const std::string &Service, std::uint32_t Slot);

  //! Returns the rates of the busiest slots of each service. Each call ends a
  //! measuring period and updates the moving averages, so call it at regular
  //! intervals.
  slot_rates rates(time_point Now);

private:
  struct counter {
    std::uint32_t Arrivals = 0; //!< In the current period.
    float PerSecond = 0;
  };
  std::map<std::string, std::map<std::uint32_t, counter>> Counters;
  time_point PeriodStartedAt{};
};

} // namespace pomelo

#endif
