//! Immutable view of the replicated state for the traffic threads.
#ifndef POMELOSWITCH_ROUTING_ROUTING_VIEW_HPP
#define POMELOSWITCH_ROUTING_ROUTING_VIEW_HPP

#include "pomeloswitch/state/cluster_state.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

struct routing_target {
  target_member Member;
  boost::asio::ip::tcp::endpoint Address;
  bool AcceptsNewWork = true;        //!< Neither leaving nor taken out.
  std::uint32_t ConnectionShare = 1; //!< Connections per traffic thread.
};

using routing_target_ptr = std::shared_ptr<const routing_target>;

//! How a roll-out under way divides the requests of a service.
struct version_split {
  std::uint64_t StartedIndex = 0; //!< Identifies the roll-out.
  std::string Version;            //!< The new one.
  double Share = 0;               //!< Of the requests, to it; 0 to 1.
};

struct routing_service {
  std::string Name;
  std::shared_ptr<const slot_table> Slots; //!< Null if not keyed.
  std::vector<routing_target_ptr> Targets;
  std::uint32_t KeySpace = 0;   //!< From the inventory.
  key_source Key;               //!< From the inventory.
  double ColdRatePerSecond = 0; //!< From the inventory.
  //! The targets of a service that is not keyed, see makeTargetRing().
  std::vector<routing_target_ptr> Ring = {};
  std::optional<version_split> Split = {};
};

struct routing_view {
  std::uint64_t Index = 0; //!< Log index of the state.
  std::uint64_t ConfigVersion = 0;
  std::uint64_t ConfigNumber = 0; //!< Set by the operators, for logs.
  std::shared_ptr<const inventory> Inventory;
  std::shared_ptr<const rules> Rules;
  std::shared_ptr<const key_map> Keys;
  std::shared_ptr<const crash_table> Crashes;
  std::uint64_t TimeMs = 0;   //!< Unix time of the latest command, ms.
  std::size_t EntryHosts = 1; //!< Number that share fleet-wide limits.
  double RingPosition = 0;    //!< Of this host, see ringPosition().
  std::map<std::string, routing_service, std::less<>> Services;
  std::map<std::string, routing_target_ptr, std::less<>> Targets;

  [[nodiscard]] const routing_service *findService(std::string_view Name) const;
};

//! Builds the view of \p State for the entry host \p HostId with \p Threads
//! traffic threads. The connections of each target are divided evenly among all
//! traffic threads of all entry hosts.
std::shared_ptr<const routing_view>
makeRoutingView(const cluster_state &State, std::size_t Threads = 1,
                std::string_view HostId = {});

//! Returns a copy of \p Service with only the targets in \p FailureDomain.
routing_service restrictToDomain(const routing_service &Service,
                                 std::string_view FailureDomain);

} // namespace pomelo

#endif
