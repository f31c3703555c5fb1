//! What the control host needs of the replicated log.
#ifndef POMELOSWITCH_RAFT_REPLICATED_LOG_HPP
#define POMELOSWITCH_RAFT_REPLICATED_LOG_HPP

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/settings/common_settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelo::wire {
class raft_message;
}

namespace pomelo {

class peer_link;

//! How a proposal ended.
struct proposal_outcome {
  std::optional<error_kind> Failure; //!< NotLeader, NoQuorum, StorageFailed.
  std::uint64_t Index = 0;           //!< Log index once committed.
};

struct committed_entry {
  std::uint64_t Index = 0;
  std::string Command; //!< A serialized wire::command; empty for no change.
};

//! A control host in the group that keeps the log.
struct control_member {
  std::string HostId;
  std::string Address; //!< IP:port of the inner protocol.
  bool Voter = false;  //!< False for a learner.
  std::string Replaces;
  std::uint64_t DurableIndex = 0; //!< As far as the leader knows.
};

//! A log that a quorum of control hosts holds durably. All members run on the
//! control thread.
class replicated_log {
public:
  using completion = std::function<void(const proposal_outcome &)>;

  //! Where committed entries and whole states go.
  struct applier {
    //! Called once for every committed entry, in order.
    std::function<void(const committed_entry &)> OnCommitted;
    //! Replaces the applied state; the bytes are a wire::state_snapshot.
    std::function<void(std::uint64_t Index, const std::string &State)>
        OnSnapshot;
    //! The applied state as a wire::state_snapshot.
    std::function<std::string()> TakeSnapshot;
    //! Called when this host begins or ceases to lead.
    std::function<void(bool Leading)> OnLeadership;
  };

  virtual ~replicated_log() = default;

  //! Starts taking part; entries already durable are applied before this
  //! returns where that is possible without the other hosts.
  virtual void start(applier Applier) = 0;
  virtual void stop() = 0;

  //! Appends \p Command. \p Done is called after the entry was applied here,
  //! or with the reason why it may not have been committed.
  virtual void propose(std::string Command, completion Done) = 0;

  [[nodiscard]] virtual bool leading() const = 0;
  //! Whether a quorum has confirmed this leader so recently that no other can
  //! have been elected. False on every other host.
  [[nodiscard]] virtual bool leadershipConfirmed() const = 0;
  //! The leader's host id as far as known, else empty.
  [[nodiscard]] virtual std::string leaderId() const = 0;
  [[nodiscard]] virtual std::uint64_t commitIndex() const = 0;

  //! Committed entries from \p First on, at most \p MaxBytes of commands;
  //! nothing if the log no longer reaches back to \p First.
  [[nodiscard]] virtual std::optional<std::vector<committed_entry>>
  entriesFrom(std::uint64_t First, std::size_t MaxBytes) const = 0;

  //! Takes a message of another control host that came on \p Link.
  virtual void deliver(const std::shared_ptr<peer_link> &Link,
                       const wire::raft_message &Message) = 0;

  [[nodiscard]] virtual std::vector<control_member> members() const = 0;
  //! Begins to add \p Host as a learner. It becomes a voter by itself once it
  //! holds everything durably; then \p Replaces, if not empty, is removed.
  //! Returns the log index whose commit makes the change durable.
  //! \throws pomelo_error NotLeader, or InvalidChange with the reason.
  virtual std::uint64_t addMember(const host_address &Host,
                                  const std::string &Replaces) = 0;
  //! Returns and throws as addMember().
  virtual std::uint64_t removeMember(const std::string &HostId) = 0;
};

} // namespace pomelo

#endif
