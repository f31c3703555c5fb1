//! Detects target crashes from broken connections and later restarts.
#ifndef POMELOSWITCH_RETRY_CRASH_DETECTOR_HPP
#define POMELOSWITCH_RETRY_CRASH_DETECTOR_HPP

#include "pomeloswitch/retry/request_state_client.hpp"
#include "pomeloswitch/routing/routing_view.hpp"

#include <chrono>
#include <deque>
#include <string_view>
#include <vector>

namespace pomelo {

//! Holds a crash report for each request whose target closed the connection
//! without an answer. The crash is confirmed if a process of the same service
//! that started later joins soon afterwards, under the id of the target or at
//! its address. Otherwise the report is discarded, also if the target has been
//! taken out and may end by plan, if it answers a later request, or if the same
//! request runs to completion meanwhile.
class crash_detector {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! Adds an unconfirmed report on \p Lost. If too many are pending, the oldest
  //! is dropped.
  void add(crash_report Report, const target_member &Lost, time_point Now);

  //! Discards the reports on a request that has run to completion.
  void discard(std::string_view Fingerprint);

  //! Discards the reports on \p Target that are older than a request which was
  //! sent to it at \p SentAt and which it has answered.
  void answered(const target_member &Target, time_point SentAt);

  //! Returns whether no report is pending.
  [[nodiscard]] bool empty() const { return Pending.empty(); }

  //! Removes and returns the reports whose target has started again; removes
  //! expired reports and those on targets that are taken out.
  std::vector<crash_report> takeConfirmedCrashes(const routing_view &View,
                                                 time_point Now);

private:
  struct suspected_crash {
    crash_report Report;
    target_member Lost;
    time_point LostAt;
  };

  std::deque<suspected_crash> Pending; //!< Oldest first.
};

} // namespace pomelo

#endif
