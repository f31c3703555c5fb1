//! Data types shared by the components of the replicated log.
#ifndef POMELOSWITCH_RAFT_RAFT_TYPES_HPP
#define POMELOSWITCH_RAFT_RAFT_TYPES_HPP

#include "pomeloswitch/clock/lease_clock.hpp"
#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

using raft_time = lease_time;

//! Time limits of the Raft protocol.
struct raft_times {
  std::chrono::milliseconds Heartbeat{75};
  //! Minimum election timeout. A voter also refuses other candidates for this
  //! long after hearing from a leader.
  std::chrono::milliseconds ElectionMin{400};
  std::chrono::milliseconds ElectionMax{800};
  //! How long a leader counts as confirmed after it sent the requests that a
  //! quorum answered. The difference to ElectionMin must exceed the maximum
  //! drift between the clocks of two hosts in that time.
  std::chrono::milliseconds LeaderLease{350};
  //! Interval after which an unanswered snapshot is sent again.
  std::chrono::milliseconds SnapshotRetry{3000};
  //! A host asks to be taken in once it has had no leader for JoinAfter, then
  //! every JoinInterval. A blank host asks at once.
  std::chrono::milliseconds JoinAfter{1500};
  std::chrono::milliseconds JoinInterval{300};
  //! A voter that is silent for this long is replaced by a learner of its own
  //! failure domain, or by one of another.
  std::chrono::milliseconds ReplaceWithinDomain{2000};
  std::chrono::milliseconds ReplaceAcrossDomains{10000};
};

//! Limits on the entries sent to one follower.
struct raft_limits {
  //! Entries are added to a message until they reach this size in bytes.
  std::size_t MaxMessageBytes = std::size_t{1} << 20;
  //! Maximum number of entries sent but not yet acknowledged.
  std::uint64_t MaxInflightEntries = 4096;
};

//! The durable state of a replica when its storage was opened.
struct stored_state {
  wire::raft_identity Identity;
  wire::raft_vote Vote;
  std::optional<wire::raft_snapshot> Snapshot;
  std::vector<wire::raft_entry> Entries; //!< Entries after the snapshot.
  //! The hosts with which this one may found a group; empty if it may not.
  std::vector<host_address> Founders;
};

//! The state that one sync makes durable: the snapshot first, then the record.
struct storage_batch {
  std::shared_ptr<const wire::raft_snapshot> Snapshot; //!< Null if unchanged.
  wire::raft_record Record;
  //! All entries after the snapshot; empty if there is no snapshot.
  std::vector<wire::raft_entry> EntriesAfterSnapshot;
  bool VoteChanged = false;

  //! Messages to send only after the batch is durable.
  std::vector<wire::raft_message> SendAfter;

  // State that is durable after the sync; read by raft_core::synced().
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::uint64_t Term = 0;

  //! Returns whether there is nothing to write. SendAfter may still contain
  //! messages.
  [[nodiscard]] bool empty() const {
    return !Snapshot && !VoteChanged && Record.entries_size() == 0;
  }
};

} // namespace pomelo

#endif
