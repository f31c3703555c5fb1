#include "pomeloswitch/clock/stall_detector.hpp"

namespace pomelo {

void stall_detector::tick(lease_time Now) {
  if (stalled(Now))
    SuspectUntil = Now + Aftermath;
  LastTick = Now;
}

bool stall_detector::mayHaveWaited(lease_time Now) const {
  return stalled(Now) || Now < SuspectUntil;
}

} // namespace pomelo
