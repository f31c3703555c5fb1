//! Follows the subsets of targets that a traffic thread uses, for operators.
#ifndef POMELOSWITCH_SENDING_SUBSET_MONITOR_HPP
#define POMELOSWITCH_SENDING_SUBSET_MONITOR_HPP

#include "pomeloswitch/routing/target_subset.hpp"
#include "pomeloswitch/sending/send_state.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! Why a target entered or left a subset.
enum class subset_reason {
  NotMember,     //!< It left the cluster or restarted.
  AcceptsNoWork, //!< It is leaving, drained or held back by a roll-out.
  Unwanted,      //!< It wants no requests.
  BackedOff,     //!< After a failure.
  UsableAgain,   //!< None of the above any more.
  Replaces,      //!< Takes the place of a target that cannot be used.
  Size,          //!< The size of the subset changed.
  Ring,          //!< Hosts or other targets joined, left or are usable again.
};

[[nodiscard]] std::string_view nameOf(subset_reason Reason);

struct subset_change {
  std::string Service;
  std::string Target;
  bool Entered = false;
  subset_reason Reason = subset_reason::Ring;
};

//! Compares the subsets with those of the observation before. Uses no clock.
class subset_monitor {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! Returns what has changed since the call before. Services of which the host
  //! uses all targets, and those divided by key, have no subset.
  std::vector<subset_change> observe(const routing_view &View,
                                     const send_state &State, time_point Now);

  //! Number of targets in the subset of each service that has one.
  [[nodiscard]] std::map<std::string, std::size_t> sizes() const;

private:
  using target_map = std::map<std::string, routing_target_ptr, std::less<>>;
  struct subset {
    std::size_t WantedSize = 0;
    target_map Members;
    //! Why targets that are not members cannot be used.
    std::map<std::string, subset_reason, std::less<>> Unusable;
  };

  static void compare(const std::string &Service, subset &Before, subset &After,
                      const routing_view &View, const send_state &State,
                      time_point Now, std::vector<subset_change> &Changes);

  std::map<std::string, subset, std::less<>> Subsets;
};

} // namespace pomelo

#endif
