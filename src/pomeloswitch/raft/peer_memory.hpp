//! What this process remembers of the other replicas, to notice one whose data
//! folder was replaced by an older copy of itself.
#ifndef POMELOSWITCH_RAFT_PEER_MEMORY_HPP
#define POMELOSWITCH_RAFT_PEER_MEMORY_HPP

#include "pomeloswitch/raft/raft_types.hpp"

#include <map>

namespace pomelo {

enum class peer_verdict {
  Current,
  Stale,     //!< Sent by an earlier process on the folder; to be ignored.
  RolledBack //!< The folder has lost what it once acknowledged.
};

class peer_memory {
public:
  //! Judges the sender of \p Message by what it said before, and remembers it.
  peer_verdict judge(const wire::raft_message &Message);

private:
  struct record {
    std::uint64_t Starts = 0;
    std::uint64_t RunId = 0;
    std::uint64_t Term = 0;
    std::uint64_t DurableTerm = 0;
    std::uint64_t DurableIndex = 0;
  };
  std::map<std::string, record> Records; //!< By replica id.
};

} // namespace pomelo

#endif
