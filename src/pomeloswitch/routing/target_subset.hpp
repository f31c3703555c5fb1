//! Chooses the targets of a service that an entry host sends to.
//!
//! Answers the load pattern of many hosts that each have few requests for a
//! service with many targets: a host that chooses among all of them meets each
//! one so rarely that what it knows of it (load, window, idle connections) is
//! out of date whenever it is used.
#ifndef POMELOSWITCH_ROUTING_TARGET_SUBSET_HPP
#define POMELOSWITCH_ROUTING_TARGET_SUBSET_HPP

#include "pomeloswitch/routing/target_choice.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

namespace pomelo {

struct subset_limits {
  //! How often a target of the subset gets a request of this host, about.
  std::chrono::milliseconds SendInterval{500};
  std::size_t MinTargets = 8;
  //! Hosts that have a target in their subset, so that the uneven rates of
  //! single hosts even out.
  std::size_t MinHostsPerTarget = 3;
  //! By which the subset may grow while all its targets are full.
  std::size_t MaxWidening = 2;
};

//! Returns how many of \p Targets targets a host uses that sends
//! \p RequestsPerSecond, as one of \p Hosts. Returns \p Targets if a subset
//! would not be much smaller.
std::size_t subsetSize(double RequestsPerSecond, std::size_t Targets,
                       std::size_t Hosts, const subset_limits &Limits = {});

//! What a host knows about the targets of one service.
struct target_predicates {
  //! Whether the target may get requests now.
  std::function<bool(const routing_target &)> Eligible;
  //! Whether it is warm; others are used beside the subset.
  std::function<bool(const routing_target &)> Warm;
  //! Whether it can take one more request of this host.
  std::function<bool(const routing_target &)> HasRoom;
};

//! Returns the first \p Size eligible and warm targets of the ring from
//! \p Position on, and the cold ones between them.
std::vector<routing_target_ptr>
subsetMembers(const routing_service &Service, double Position, std::size_t Size,
              std::span<const std::string> Excluded,
              const target_predicates &Targets);

//! Returns the part of the ring over which the subset extends, in (0, 1]. As
//! the hosts are spread evenly over the ring, that is also about the part of
//! the hosts whose subsets have a given cold target.
double subsetStretch(const routing_service &Service, double Position,
                     std::size_t Size, std::span<const std::string> Excluded,
                     const target_predicates &Targets);

//! Returns the target with the lowest load among the first \p Size eligible and
//! warm ones of the ring from \p Position on, and the cold ones between them.
//! If none of them has room, returns the first warm one that has, among at most
//! MaxWidening times as many; null if there is none.
routing_target_ptr
chooseFromSubset(const routing_service &Service, double Position,
                 std::size_t Size, std::span<const std::string> Excluded,
                 const target_predicates &Targets, const load_estimate &Load,
                 random_engine &Random, const subset_limits &Limits = {});

} // namespace pomelo

#endif
