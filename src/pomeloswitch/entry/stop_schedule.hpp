//! When the steps of an entry host's stop are due.
#ifndef POMELOSWITCH_ENTRY_STOP_SCHEDULE_HPP
#define POMELOSWITCH_ENTRY_STOP_SCHEDULE_HPP

#include "pomeloswitch/settings/entry_settings.hpp"

#include <chrono>

namespace pomelo {

//! Times since the stop signal.
struct stop_schedule {
  //! New callers are taken until then.
  std::chrono::milliseconds ListenerCloses{0};
  //! The process ends then, whatever is open.
  std::chrono::milliseconds ProcessEnds{0};
};

//! Makes the best of the time that \p Settings leave: all of the stop limit but
//! what the process needs for its own end, or else the grace period.
[[nodiscard]] stop_schedule makeStopSchedule(const entry_settings &Settings);

} // namespace pomelo

#endif
