//! Request rates of key slots and request durations of targets, as reported
//! by entry hosts to the leader.
#ifndef POMELOSWITCH_OWNERSHIP_LOAD_TABLE_HPP
#define POMELOSWITCH_OWNERSHIP_LOAD_TABLE_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelo::wire {
class heartbeat;
}

namespace pomelo {

//! Aggregates the load reports of all entry hosts.
class load_table {
public:
  //! Records the loads and speeds that a heartbeat contains, if any.
  void recordHeartbeat(const wire::heartbeat &Beat, mono_time Now);
  void clear();

  //! Weight of each slot of the service: the requests per second that recent
  //! heartbeats of all entry hosts report, plus a share for idle slots. All
  //! slots have weight 1 if no load is reported; no slot has weight 0.
  [[nodiscard]] std::vector<double> slotWeights(std::string_view Service,
                                                std::size_t SlotCount,
                                                mono_time Now) const;
  //! Requests per second for each slot of the service in the latest period that
  //! each entry host reported.
  [[nodiscard]] std::vector<double> latestRates(std::string_view Service,
                                                std::size_t SlotCount,
                                                mono_time Now) const;
  //! Whether a recent heartbeat reported loads of the service.
  [[nodiscard]] bool hasLoads(std::string_view Service, mono_time Now) const;
  //! Moving average of the seconds that a request takes at the target; 0 if
  //! no speed has been reported.
  [[nodiscard]] double requestSeconds(std::string_view TargetId) const;

private:
  //! Requests per second for one slot.
  struct slot_load {
    std::uint32_t Slot = 0;
    float PerSecond = 0;       //!< Moving average.
    float LatestPerSecond = 0; //!< Of the latest period alone.
    //! Of the table that the host numbered by; 0 if not reported.
    std::uint32_t SlotCount = 0;
  };
  struct host_loads {
    mono_time HeardAt{};
    std::map<std::string, std::vector<slot_load>, std::less<>> Rates;
  };

  static void addRate(const slot_load &Load, double PerSecond,
                      std::vector<double> &Sums);
  [[nodiscard]] std::vector<double> sumOf(float slot_load::*Rate,
                                          std::string_view Service,
                                          std::size_t SlotCount,
                                          mono_time Now) const;

  std::map<std::string, host_loads, std::less<>> Hosts;
  std::map<std::string, double, std::less<>> SecondsByTarget;
};

} // namespace pomelo

#endif
