#include "pomeloswitch/entry/heartbeat_schedule.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {

void heartbeat_schedule::want(time_point Now) {
  if (AnsweredSequence < SentSequence)
    Wanted = true;
  else
    Due = std::min(
        Due, std::max(Now + Times.PromptDelay,
                      SentAt + Times.MinimumPerHost * static_cast<int>(Hosts)));
}

void heartbeat_schedule::sent(std::uint64_t Sequence, time_point Now) {
  SentSequence = Sequence;
  SentAt = Now;
  Due = Now + Times.Regular;
}

void heartbeat_schedule::answered(std::uint64_t Sequence, time_point Now) {
  AnsweredSequence = std::max(AnsweredSequence, Sequence);
  AnsweredAt = Now;
  if (std::exchange(Wanted, false))
    want(Now);
}

bool heartbeat_schedule::leaderKnown(time_point Now) const {
  return AnsweredSequence > 0 && Now - AnsweredAt < Times.LeaderTimeout;
}

} // namespace pomelo
