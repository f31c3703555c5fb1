#include "pomeloswitch/entry/stop_schedule.hpp"

#include <algorithm>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! Kept free before the process is killed.
constexpr milliseconds KillMargin(400);

milliseconds endOf(const entry_settings &Settings) {
  if (!Settings.StopLimitSeconds)
    return milliseconds(Settings.StopNoticeMs) +
           milliseconds(Settings.StopGraceMs);
  const std::chrono::duration<double> Limit(*Settings.StopLimitSeconds);
  return std::max(std::chrono::duration_cast<milliseconds>(Limit) - KillMargin,
                  milliseconds(0));
}

} // namespace

stop_schedule makeStopSchedule(const entry_settings &Settings) {
  stop_schedule Schedule;
  Schedule.ProcessEnds = endOf(Settings);
  Schedule.ListenerCloses =
      std::min(milliseconds(Settings.StopNoticeMs), Schedule.ProcessEnds);
  return Schedule;
}

} // namespace pomelo
