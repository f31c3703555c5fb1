//! Counts how often the activities of one thread ran and how long they took, to
//! show what a busy process spends its time on.
#ifndef POMELOSWITCH_OBSERVE_ACTIVITY_METER_HPP
#define POMELOSWITCH_OBSERVE_ACTIVITY_METER_HPP

#include "pomeloswitch/observe/metrics.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace pomelo {

//! Belongs to one thread and has no lock. Activities are numbered in the order
//! of their names.
class activity_meter {
public:
  //! Adds the time until its destruction to an activity. Must not be alive
  //! while its coroutine is suspended.
  class timer {
  public:
    timer(activity_meter &Meter, std::size_t Activity)
        : Meter(Meter), Activity(Activity),
          StartedAt(std::chrono::steady_clock::now()) {}
    ~timer() {
      Meter.add(Activity, std::chrono::steady_clock::now() - StartedAt);
    }
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

  private:
    activity_meter &Meter;
    std::size_t Activity;
    std::chrono::steady_clock::time_point StartedAt;
  };

  //! \p Names must outlive the meter.
  explicit activity_meter(std::span<const std::string_view> Names);

  void add(std::size_t Activity, std::chrono::nanoseconds Duration);

  //! Returns, for each activity that ran since the last call, a field with its
  //! name that holds how often (`count`) and how long in all (`busy_ms`).
  [[nodiscard]] boost::json::object takeReport();

  //! Sets the gauges `pomelo_activity_count` and `pomelo_activity_seconds`,
  //! labelled with the activity, to the totals since the start of the process.
  void exportTo(metric_set &Metrics) const;

private:
  struct usage {
    std::uint64_t Count = 0;
    std::chrono::nanoseconds Busy{0};
  };

  std::span<const std::string_view> Names;
  std::vector<usage> Totals;
  std::vector<usage> Reported; //!< Totals at the last report.
};

} // namespace pomelo

#endif
