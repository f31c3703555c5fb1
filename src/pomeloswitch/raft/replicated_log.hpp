//! Interface of the replicated log of control hosts.
#ifndef POMELOSWITCH_RAFT_REPLICATED_LOG_HPP
#define POMELOSWITCH_RAFT_REPLICATED_LOG_HPP

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/raft/leader_stamp.hpp"
#include "pomeloswitch/settings/common_settings.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelo::wire {
class envelope;
class raft_message;
} // namespace pomelo::wire

namespace pomelo {

class peer_link;

//! The result of a proposal.
struct proposal_outcome {
  std::optional<error_kind> Failure; //!< NotLeader, NoQuorum, StorageFailed.
  std::uint64_t Index = 0;           //!< Log index; 0 on failure.
};

//! An entry of the log that a quorum has made durable.
struct committed_entry {
  std::uint64_t Index = 0;
  std::string Command; //!< A serialized wire::command; empty for a no-op.
};

//! A control host that is a member of the group.
struct control_member {
  std::string HostId;
  std::string Address;  //!< IP:port of the inner protocol.
  bool Voter = false;   //!< False for a learner.
  std::string Replaces; //!< Host to remove once this one is a voter.
  //! Index of the last durable entry, as known to the leader; 0 if unknown.
  std::uint64_t DurableIndex = 0;
};

//! A log that is durable on a quorum of control hosts. All member functions
//! must be called on the control thread.
class replicated_log {
public:
  //! Called with the result of a proposal.
  using completion = std::function<void(const proposal_outcome &)>;

  //! Callbacks of the state machine that the log is applied to.
  struct applier {
    //! Called once for every committed entry, in order.
    std::function<void(const committed_entry &)> OnCommitted;
    //! Replaces the applied state with \p State, a serialized
    //! wire::state_snapshot.
    std::function<void(std::uint64_t Index, const std::string &State)>
        OnSnapshot;
    //! Returns the applied state as a serialized wire::state_snapshot.
    std::function<std::string()> TakeSnapshot;
    //! Called when this host becomes leader or stops being leader.
    std::function<void(bool Leading)> OnLeadership;
  };

  virtual ~replicated_log() = default;

  //! Starts replication. Applies the stored snapshot and all entries already
  //! known to be committed before it returns.
  virtual void start(applier Applier) = 0;
  //! Stops replication. Pending proposals are not completed.
  virtual void stop() = 0;

  //! Appends \p Command. Calls \p Done after this host has applied the entry,
  //! or with the reason why the entry may not have been committed.
  virtual void propose(std::string Command, completion Done) = 0;

  //! Returns whether this host is the leader and has applied all entries of
  //! earlier terms. Another leader may exist, see leadershipConfirmed().
  [[nodiscard]] virtual bool leading() const = 0;
  //! Returns whether this host is the leader and a quorum has confirmed it so
  //! recently that no other leader can have been elected.
  [[nodiscard]] virtual bool leadershipConfirmed() const = 0;
  //! Returns the host id of the leader, or an empty string if unknown.
  [[nodiscard]] virtual std::string leaderId() const = 0;
  [[nodiscard]] virtual std::uint64_t commitIndex() const = 0;
  //! Whether another host leads, was heard recently and has an open link.
  [[nodiscard]] virtual bool leaderReachable() const = 0;
  //! Sends \p Message to the leader. Returns false if it is not reachable;
  //! after true the message may still be lost.
  virtual bool sendToLeader(const wire::envelope &Message) = 0;

  //! Returns the stamp of the latest message from the leader.
  [[nodiscard]] virtual leader_stamp latestStamp() const = 0;
  //! Returns how long ago this host gave out the stamp, or nothing if it was
  //! another host or this one has not led since then.
  [[nodiscard]] virtual std::optional<std::chrono::nanoseconds>
  ageOf(const leader_stamp &Stamp) const = 0;

  //! Returns committed entries from index \p First on, stopping once their
  //! commands reach \p MaxBytes. Returns nullopt if the entry at \p First was
  //! already compacted away.
  [[nodiscard]] virtual std::optional<std::vector<committed_entry>>
  entriesFrom(std::uint64_t First, std::size_t MaxBytes) const = 0;

  //! Returns whether this host acknowledges, votes and may lead. It does not
  //! while its storage fails.
  [[nodiscard]] virtual bool takesPart() const { return true; }

  //! Handles a message of another control host that arrived on \p Link.
  virtual void deliver(const std::shared_ptr<peer_link> &Link,
                       const wire::raft_message &Message) = 0;

  [[nodiscard]] virtual std::vector<control_member> members() const = 0;
  //! Starts adding \p Host as a learner. The leader promotes it to a voter once
  //! it has all committed entries durably, and then removes the host
  //! \p Replaces unless that is empty. Returns the log index whose commit
  //! makes the change durable.
  //! \throws pomelo_error NotLeader, NoQuorum while an earlier change, which
  //! the group may have made by itself, is not committed, or InvalidChange with
  //! the reason.
  virtual std::uint64_t addMember(const host_address &Host,
                                  const std::string &Replaces) = 0;
  //! Starts removing \p HostId from the group. Returns and throws like
  //! addMember().
  virtual std::uint64_t removeMember(const std::string &HostId) = 0;
};

} // namespace pomelo

#endif
