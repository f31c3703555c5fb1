//! Detection of times in which a process could not handle its input.
#ifndef POMELOSWITCH_CLOCK_STALL_DETECTOR_HPP
#define POMELOSWITCH_CLOCK_STALL_DETECTOR_HPP

#include "pomeloswitch/clock/lease_clock.hpp"

namespace pomelo {

//! Tells whether input that is read now may have waited unread for long,
//! because the process was stopped or got no processor time.
class stall_detector {
public:
  //! Input may wait for \p Longest. What arrived in a longer stall is expected
  //! to be read within \p Aftermath of its end.
  stall_detector(lease_clock::duration Longest, lease_clock::duration Aftermath)
      : Longest(Longest), Aftermath(Aftermath) {}

  //! Must be called at intervals that are well below the longest wait.
  void tick(lease_time Now);

  //! Whether input that is read at \p Now may have waited for longer than the
  //! longest wait.
  [[nodiscard]] bool mayHaveWaited(lease_time Now) const;

private:
  [[nodiscard]] bool stalled(lease_time Now) const {
    return Now - LastTick > Longest;
  }

  lease_clock::duration Longest;
  lease_clock::duration Aftermath;
  lease_time LastTick = lease_clock::now();
  lease_time SuspectUntil{};
};

} // namespace pomelo

#endif
