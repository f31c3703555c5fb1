//! The leader's picture of where the load of keyed services falls.
#ifndef POMELOSWITCH_OWNERSHIP_LOAD_TABLE_HPP
#define POMELOSWITCH_OWNERSHIP_LOAD_TABLE_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo::wire {
class heartbeat;
}

namespace pomelo {

class load_table {
public:
  //! Takes what a heartbeat tells of loads and speeds, if it does.
  void heard(const wire::heartbeat &Beat, mono_time Now);
  void clear();

  //! Requests a second for each slot of the service, from all entry hosts; all
  //! equal where nothing is known. Every slot has some weight.
  [[nodiscard]] std::vector<double>
  weights(std::string_view Service, std::size_t SlotCount, mono_time Now) const;
  //! Whether entry hosts have told loads of the service.
  [[nodiscard]] bool known(std::string_view Service, mono_time Now) const;
  //! Seconds that a request takes at the target; 0 where that is not known.
  [[nodiscard]] double secondsOf(std::string_view TargetId) const;

private:
  struct host_loads {
    mono_time HeardAt{};
    std::map<std::string, std::map<std::uint32_t, float>, std::less<>> Rates;
  };
  std::map<std::string, host_loads, std::less<>> Hosts;
  std::map<std::string, double, std::less<>> Seconds; //!< By target.
};

} // namespace pomelo

#endif
