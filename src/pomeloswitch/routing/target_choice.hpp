//! Selects the target of a request.
#ifndef POMELOSWITCH_ROUTING_TARGET_CHOICE_HPP
#define POMELOSWITCH_ROUTING_TARGET_CHOICE_HPP

#include "pomeloswitch/routing/routing_view.hpp"

#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace pomelo {

using random_engine = std::mt19937_64;

//! The key slot of a request, its fencing token and its owner.
struct slot_owner {
  std::uint32_t Slot = 0;
  std::uint64_t Token = 0;
  routing_target_ptr Target; //!< Null while the slot has no active owner.
  std::size_t SlotCount = 0; //!< Of the table that Slot is a number in.
};

//! Returns the slot of \p Key and its owner.
//! \pre \p Service is divided by key.
slot_owner findOwner(const routing_view &View, const routing_service &Service,
                     std::string_view Key);

//! Whether a request may still be sent to \p Owner, which was determined from
//! an earlier view: the target has not restarted and, if the service is keyed,
//! the slot, or each of the parts that it was divided into, is still active
//! with the same token; otherwise the target must still accept new work.
bool mayStillSend(const routing_view &View, std::string_view ServiceName,
                  const slot_owner &Owner);

//! Estimates the load of a target as seen from this host; lower is better.
using load_estimate = std::function<double(const routing_target &)>;

[[nodiscard]] bool isExcluded(const routing_target &Target,
                              std::span<const std::string> Excluded);

//! Keeps the target with the lowest load of those offered. Each load is
//! multiplied by a random jitter so that several entry hosts do not all choose
//! the same target.
class weighted_choice {
public:
  explicit weighted_choice(random_engine &Random) : Random(Random) {}

  void offer(const routing_target_ptr &Target, double Load);
  //! Null if no target was offered.
  [[nodiscard]] const routing_target_ptr &best() const { return Best; }

private:
  random_engine &Random;
  routing_target_ptr Best;
  double BestLoad = 0;
};

//! Returns the target with the lowest load among those that accept new work,
//! satisfy \p Usable and are not in \p Excluded; null if there is none.
routing_target_ptr
chooseBest(const routing_service &Service,
           std::span<const std::string> Excluded,
           const std::function<bool(const routing_target &)> &Usable,
           const load_estimate &Load, random_engine &Random);

} // namespace pomelo

#endif
