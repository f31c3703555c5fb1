//! How many requests come for each slot, at one traffic thread.
#ifndef POMELOSWITCH_ROUTING_SLOT_METER_HPP
#define POMELOSWITCH_ROUTING_SLOT_METER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelo {

//! Requests a second that come for one slot.
struct slot_rate {
  std::uint32_t Slot = 0;
  float PerSecond = 0;
};

//! By service.
using slot_rates = std::map<std::string, std::vector<slot_rate>>;

class slot_meter {
public:
  using time_point = std::chrono::steady_clock::time_point;

  void arrived(const std::string &Service, std::uint32_t Slot);

  //! The busiest slots' rates. To be called at even intervals: each call ends
  //! a period, which goes into the moving averages.
  slot_rates rates(time_point Now);

private:
  struct counter {
    std::uint32_t Arrived = 0; //!< In the current period.
    float PerSecond = 0;
  };
  std::map<std::string, std::map<std::uint32_t, counter>> Counters;
  time_point PeriodBegan{};
};

} // namespace pomelo

#endif
