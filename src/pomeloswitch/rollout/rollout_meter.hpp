//! Counts what one traffic thread sends to services under a roll-out.
#ifndef POMELOSWITCH_ROLLOUT_ROLLOUT_METER_HPP
#define POMELOSWITCH_ROLLOUT_ROLLOUT_METER_HPP

#include "pomeloswitch/rollout/attempt_counts.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pomelo {

//! The route and the target of some requests.
using route_and_target = std::pair<std::string, std::string>;

//! Outcomes at one target.
struct target_outcomes {
  bool NewVersion = false;
  attempt_counts Counts;
};

//! All that was sent to one service since its roll-out began.
struct service_outcomes {
  std::uint64_t StartedIndex = 0; //!< Identifies the roll-out.
  std::uint64_t Requests = 0;     //!< Sent to targets of all versions.
  std::uint64_t NewRequests = 0;  //!< Sent to targets of the new version.
  std::map<route_and_target, target_outcomes> Targets;

  //! Counts of an earlier roll-out are dropped: a thread may not have followed
  //! the latest one yet.
  service_outcomes &operator+=(const service_outcomes &Other);
};

using outcomes_by_service =
    std::map<std::string, service_outcomes, std::less<>>;

//! How one request to a target ended.
struct counted_attempt {
  std::string Route;
  std::string TargetId;
  bool NewVersion = false;
  bool Failed = false;
  //! Empty if the request says nothing about the version.
  std::optional<std::chrono::nanoseconds> Latency;
};

class rollout_meter {
public:
  //! Counts an attempt for the roll-out that began at \p StartedIndex; what was
  //! counted for an earlier one is dropped.
  void record(std::string_view Service, std::uint64_t StartedIndex,
              const counted_attempt &Attempt);
  //! Drops the services for which \p UnderWay returns false.
  template <typename predicate> void retain(predicate UnderWay) {
    std::erase_if(Services, [&UnderWay](const auto &Entry) {
      return !UnderWay(Entry.first, Entry.second.StartedIndex);
    });
  }
  [[nodiscard]] const outcomes_by_service &outcomes() const { return Services; }

private:
  outcomes_by_service Services;
};

} // namespace pomelo

#endif
