//! Tells connections that a full target has reset from those of a crash.
//!
//! Answers the load pattern of targets that reset connections instead of
//! refusing requests once their queue is full. Taken for crashes, such resets
//! take targets out for seconds when they are needed most.
#ifndef POMELOSWITCH_ROUTING_FULL_TARGET_DETECTOR_HPP
#define POMELOSWITCH_ROUTING_FULL_TARGET_DETECTOR_HPP

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace pomelo {

//! What is known of a target when a connection to it is reset.
struct target_pressure {
  double Outstanding = 0; //!< Running and queued requests, as last reported.
  double Slots = 1;
  std::chrono::nanoseconds ReportAge{0};
};

//! Learns by service whether targets reset connections when they are full: a
//! target that has reset one with a long queue, and then answered a later
//! request, was full. Uses no clock.
class full_target_detector {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! Whether the reset of a connection to the target counts as a refusal.
  //! \p Target identifies one life of the target.
  [[nodiscard]] bool recordReset(std::string_view Service,
                                 std::string_view Target,
                                 const target_pressure &Pressure,
                                 time_point Now);
  //! Records that the target answered a request sent at \p SentAt.
  void recordAnswer(std::string_view Service, std::string_view Target,
                    time_point SentAt, time_point Now);
  //! Whether targets of the service were seen to reset connections when full.
  [[nodiscard]] bool resetsWhenFull(std::string_view Service,
                                    time_point Now) const;

  //! An older report says nothing about the moment of the reset.
  static constexpr std::chrono::milliseconds MaxReportAge{1000};
  //! Queued requests per slot from which a target may be full.
  static constexpr double MinQueuePerSlot = 1;
  //! What was learnt of a service is kept for this long.
  static constexpr std::chrono::seconds Retention{60};

private:
  using time_map = std::map<std::string, time_point, std::less<>>;

  static bool mayBeFull(const target_pressure &Pressure);

  time_map SuspectedAt; //!< Resets that may have been of a full target.
  time_map ConfirmedAt; //!< By service.
};

} // namespace pomelo

#endif
