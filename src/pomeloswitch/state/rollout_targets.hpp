//! Which targets of a new version a roll-out uses.
#ifndef POMELOSWITCH_STATE_ROLLOUT_TARGETS_HPP
#define POMELOSWITCH_STATE_ROLLOUT_TARGETS_HPP

#include "pomeloswitch/state/cluster_state.hpp"

namespace pomelo {

//! Returns the targets of new versions that their roll-outs do not use yet.
//!
//! A small share of the requests goes to a part of the new targets only, so
//! that each of these gets as many as it will get in the end: a version may be
//! bad under load only.
[[nodiscard]] name_set heldBackTargets(const cluster_state &State);

} // namespace pomelo

#endif
