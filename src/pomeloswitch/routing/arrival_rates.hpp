//! Rate of the requests for each service at one traffic thread.
#ifndef POMELOSWITCH_ROUTING_ARRIVAL_RATES_HPP
#define POMELOSWITCH_ROUTING_ARRIVAL_RATES_HPP

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace pomelo {

//! Measures arrivals with a counter that decays exponentially. Uses no clock.
class arrival_rates {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! Time constant of the decay.
  static constexpr std::chrono::seconds DecayTime{3};

  void recordArrival(std::string_view Service, time_point Now);
  //! Requests per second; 0 for a service without requests.
  [[nodiscard]] double perSecond(std::string_view Service,
                                 time_point Now) const;

private:
  struct counter {
    double Arrivals = 0; //!< Decayed to UpdatedAt.
    time_point UpdatedAt{};
  };

  static double decayed(const counter &Counter, time_point Now);

  std::map<std::string, counter, std::less<>> Counters;
};

} // namespace pomelo

#endif
