//! A cluster whose keys all belong to one target, and the load that entry hosts
//! report for them.
#ifndef POMELOSWITCH_TESTS_OWNERSHIP_OVERLOADED_OWNER_HPP
#define POMELOSWITCH_TESTS_OWNERSHIP_OVERLOADED_OWNER_HPP

#include "pomeloswitch/ownership/load_table.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <string>

namespace pomelo {

constexpr const char *OwnedService = "keyed";
constexpr const char *OwnerId = "t";

//! Returns a state with \p HostCount entry hosts in which the target OwnerId
//! with \p TargetSlots owns the only slot of OwnedService.
inline cluster_state stateWithOwner(unsigned HostCount,
                                    std::uint32_t TargetSlots,
                                    slot_phase Phase = slot_phase::Active) {
  wire::state_snapshot Snapshot;
  for (unsigned Number = 0; Number < HostCount; ++Number) {
    auto *Host = Snapshot.add_hosts()->mutable_host();
    Host->set_host_id("e" + std::to_string(Number));
    Host->set_incarnation(1);
  }
  auto *Target = Snapshot.add_targets()->mutable_target();
  Target->set_target_id(OwnerId);
  Target->set_incarnation(1);
  Target->set_service(OwnedService);
  Target->set_slots(TargetSlots);
  Target->set_address("127.0.0.1:4001");
  auto *Slots = Snapshot.add_slots();
  Slots->set_service(OwnedService);
  auto *Slot = Slots->add_slots();
  Slot->set_owner(OwnerId);
  Slot->set_token(1);
  Slot->set_phase(static_cast<std::uint32_t>(Phase));
  return cluster_state::fromSnapshot(Snapshot);
}

//! Returns a heartbeat that reports the latest rate of that slot.
inline wire::heartbeat loadReport(const std::string &HostId, float PerSecond) {
  wire::heartbeat Heartbeat;
  Heartbeat.set_host_id(HostId);
  auto *Load = Heartbeat.add_loads();
  Load->set_service(OwnedService);
  Load->add_slots(0);
  Load->add_per_second(PerSecond);
  Load->add_latest_per_second(PerSecond);
  return Heartbeat;
}

inline wire::heartbeat speedReport(const std::string &TargetId, float Seconds) {
  wire::heartbeat Heartbeat;
  auto *Speed = Heartbeat.add_speeds();
  Speed->set_target_id(TargetId);
  Speed->set_seconds(Seconds);
  return Heartbeat;
}

} // namespace pomelo

#endif
