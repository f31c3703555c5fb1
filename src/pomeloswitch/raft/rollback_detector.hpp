//! Detects replicas whose data folder was replaced by an older copy of itself.
#ifndef POMELOSWITCH_RAFT_ROLLBACK_DETECTOR_HPP
#define POMELOSWITCH_RAFT_ROLLBACK_DETECTOR_HPP

#include "pomeloswitch/raft/raft_types.hpp"

#include <map>

namespace pomelo {

//! How the state that a peer reports relates to its earlier reports.
enum class peer_status {
  Current,
  Stale,     //!< Sent by an earlier process on the folder; must be ignored.
  RolledBack //!< The folder lacks data that the replica had acknowledged.
};

//! Tracks the latest state that each peer replica reported to this process.
class rollback_detector {
public:
  //! Compares \p Message with the earlier messages of its sender. Records the
  //! state that it reports if the result is Current.
  peer_status check(const wire::raft_message &Message);

private:
  struct peer_record {
    std::uint64_t Starts = 0;
    std::uint64_t RunId = 0;
    std::uint64_t Term = 0;
    std::uint64_t DurableTerm = 0;
    std::uint64_t DurableIndex = 0;
  };
  std::map<std::string, peer_record> Records; //!< By replica id.
};

} // namespace pomelo

#endif
