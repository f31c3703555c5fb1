#include "pomeloswitch/entry/speed_changes.hpp"

namespace pomelo {

response_times speed_changes::take(const response_times &Latest) {
  response_times Taken;
  Turn = (Turn + 1) % RepeatEvery;
  std::size_t Position = 0;
  for (const auto &[TargetId, Seconds] : Latest) {
    const auto Earlier = Reported.find(TargetId);
    const bool Changed =
        Earlier == Reported.end() || Earlier->second != Seconds;
    const bool InTurn = Position++ % RepeatEvery == Turn;
    if (Changed || InTurn)
      Taken.emplace(TargetId, Seconds);
  }
  Reported = Latest;
  return Taken;
}

} // namespace pomelo
