//! Which committed commands must reach all entry hosts quickly, or be confirmed
//! by them quickly.
#ifndef POMELOSWITCH_STATE_COMMAND_URGENCY_HPP
#define POMELOSWITCH_STATE_COMMAND_URGENCY_HPP

#include "pomeloswitch/state/cluster_state.hpp"

namespace pomelo::wire {
class command;
}

namespace pomelo {

//! Whether entry hosts should learn of the command at once: what they may do
//! has been restricted, or an operator waits for it to be in force.
[[nodiscard]] bool isUrgent(const wire::command &Command);

//! Whether somebody waits until all entry hosts have applied the command: an
//! operator, or slots whose owner does not check fencing tokens and which are
//! granted anew only then. \p State has applied it.
[[nodiscard]] bool awaitsEntryHosts(const cluster_state &State,
                                    const wire::command &Command);

} // namespace pomelo

#endif
