//! Data that the replicated log's parts hand to each other.
#ifndef POMELOSWITCH_RAFT_RAFT_TYPES_HPP
#define POMELOSWITCH_RAFT_RAFT_TYPES_HPP

#include "pomeloswitch/clock/lease_clock.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

using raft_time = lease_time;

struct raft_times {
  std::chrono::milliseconds Heartbeat{75};
  //! A voter refuses other candidates for this long after it heard a leader.
  std::chrono::milliseconds ElectionMin{400};
  std::chrono::milliseconds ElectionMax{800};
  //! How long after a quorum's answer a leader counts as confirmed. Shorter
  //! than ElectionMin by more than the clocks' rates may differ.
  std::chrono::milliseconds LeaderLease{350};
  //! A snapshot without an answer is sent again after this long.
  std::chrono::milliseconds SnapshotRetry{3000};
};

struct raft_limits {
  std::size_t MessageBytes = std::size_t{1} << 20;
  //! Entries sent to a follower ahead of its answers.
  std::uint64_t EntriesAhead = 4096;
};

//! What a data folder held when it was opened.
struct stored_state {
  wire::raft_identity Identity;
  wire::raft_vote Vote;
  std::optional<wire::raft_snapshot> Snapshot;
  std::vector<wire::raft_entry> Entries; //!< Those after the snapshot.
};

//! What one sync has to make durable, in this order.
struct storage_batch {
  std::shared_ptr<const wire::raft_snapshot> Snapshot; //!< Or null.
  wire::raft_record Record;
  //! With a snapshot: all entries after it that must stay.
  std::vector<wire::raft_entry> Kept;
  bool VoteChanged = false;

  //! Messages that must wait until the batch is durable.
  std::vector<wire::raft_message> SendAfter;

  // Reported back to the core once durable.
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::uint64_t Term = 0;

  [[nodiscard]] bool empty() const {
    return !Snapshot && !VoteChanged && Record.entries_size() == 0;
  }
};

} // namespace pomelo

#endif
