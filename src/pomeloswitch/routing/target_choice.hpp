//! Choosing the target of a request.
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

//! Where a keyed request belongs.
struct slot_owner {
  std::uint32_t Slot = 0;
  std::uint64_t Token = 0;
  routing_target_ptr Target; //!< Null while the slot has no active owner.
};

//! \pre \p Service is divided by key.
slot_owner findOwner(const routing_view &View, const routing_service &Service,
                     std::string_view Key);

//! Whether a request for \p Owner, which an earlier view named, may still be
//! sent: its slot has not passed on and its target still takes new work.
bool mayStillSend(const routing_view &View, std::string_view ServiceName,
                  const slot_owner &Owner);

//! How loaded a target looks from this host; lower is better.
using load_estimate = std::function<double(const routing_target &)>;

//! The target that looks best of those that accept new work, are \p Usable and
//! are not in \p Excluded; null if there is none. \p Load is blurred a little,
//! so that several entry hosts do not all choose the same one.
routing_target_ptr
chooseBest(const routing_service &Service,
           std::span<const std::string> Excluded,
           const std::function<bool(const routing_target &)> &Usable,
           const load_estimate &Load, random_engine &Random);

} // namespace pomelo

#endif
