//! What targets say in their responses about further requests.
#ifndef POMELOSWITCH_ROUTING_TARGET_NOTICES_HPP
#define POMELOSWITCH_ROUTING_TARGET_NOTICES_HPP

#include "pomeloswitch/routing/routing_view.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace pomelo {

//! What a target says about further requests of this host.
struct target_notice {
  bool Leaving = false; //!< It wants no more requests.
  //! It wants no requests until this time; the epoch if it has not said so.
  std::chrono::steady_clock::time_point WantsNothingUntil{};

  [[nodiscard]] bool
  wantsRequests(std::chrono::steady_clock::time_point Now) const {
    return !Leaving && Now >= WantsNothingUntil;
  }
  bool operator==(const target_notice &) const = default;
};

//! The notices of all targets, by incarnation. They hold also while a target is
//! not a member: one that the control hosts have lost sight of may come back as
//! the process that it was.
class target_notices {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! Records what the target has said. Returns whether that is new.
  bool record(const routing_target &Target, const target_notice &Notice,
              time_point Now);

  //! Returns all that the target has said; an empty notice if nothing.
  [[nodiscard]] target_notice of(const routing_target &Target) const;

  //! Removes notices that are over, and those of targets that have not been in
  //! a view for MemoryTime.
  void retain(const routing_view &View, time_point Now);

  static constexpr std::chrono::minutes MemoryTime{10};

private:
  struct entry {
    target_notice Notice;
    time_point LastMemberAt{};
  };
  using incarnation_id = std::pair<std::string, std::uint64_t>;

  static incarnation_id idOf(const routing_target &Target);

  std::map<incarnation_id, entry> Entries;
};

} // namespace pomelo

#endif
