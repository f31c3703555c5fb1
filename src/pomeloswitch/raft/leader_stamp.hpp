//! Stamps by which a leader bounds the age of what other hosts send it.
#ifndef POMELOSWITCH_RAFT_LEADER_STAMP_HPP
#define POMELOSWITCH_RAFT_LEADER_STAMP_HPP

#include <cstdint>

namespace pomelo {

//! When a leader sent a message, by its own clock. What another host takes
//! after it has received that message, and sends to the leader together with
//! the stamp, is not older than the stamp.
struct leader_stamp {
  std::uint64_t Term = 0;   //!< Of the leader.
  std::uint64_t SentAt = 0; //!< lease_clock of the leader, ns.
};

} // namespace pomelo

#endif
