//! Detects target crashes from broken connections and later restarts.
#ifndef POMELOSWITCH_RETRY_CRASH_DETECTOR_HPP
#define POMELOSWITCH_RETRY_CRASH_DETECTOR_HPP

#include "pomeloswitch/retry/request_state_client.hpp"
#include "pomeloswitch/routing/routing_view.hpp"

#include <chrono>
#include <deque>
#include <vector>

namespace pomelo {

//! Holds a crash report for each request whose target closed the connection
//! without an answer. The crash is confirmed if the target announces itself as
//! a new incarnation soon afterwards; otherwise the report is discarded.
class crash_detector {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! Adds an unconfirmed report. If too many are pending, the oldest is
  //! dropped.
  void add(crash_report Report, time_point Now);

  //! Removes and returns the reports whose target has joined again as another
  //! incarnation; removes expired reports.
  std::vector<crash_report> takeConfirmedCrashes(const routing_view &View,
                                                 time_point Now);

private:
  struct suspected_crash {
    crash_report Report;
    time_point ExpiresAt;
  };

  std::deque<suspected_crash> Pending; //!< Oldest first.
};

} // namespace pomelo

#endif
