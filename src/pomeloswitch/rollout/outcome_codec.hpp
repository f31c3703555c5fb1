//! Conversion of the counts of roll-outs to and from the inner protocol.
#ifndef POMELOSWITCH_ROLLOUT_OUTCOME_CODEC_HPP
#define POMELOSWITCH_ROLLOUT_OUTCOME_CODEC_HPP

#include "pomeloswitch/rollout/rollout_meter.hpp"

namespace pomelo::wire {
class heartbeat;
class rollout_counts;
} // namespace pomelo::wire

namespace pomelo {

//! Adds the counts to a heartbeat.
void encode(const outcomes_by_service &Outcomes, wire::heartbeat &Heartbeat);
[[nodiscard]] service_outcomes decode(const wire::rollout_counts &Counts);

} // namespace pomelo

#endif
