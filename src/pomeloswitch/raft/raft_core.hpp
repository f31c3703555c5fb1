//! The replicated log's decisions: elections, replication, membership.
//!
//! A deterministic state machine without input or output of its own. Messages,
//! ticks and finished syncs go in; messages to send, batches to make durable
//! and committed entries come out of the take functions.
#ifndef POMELOSWITCH_RAFT_RAFT_CORE_HPP
#define POMELOSWITCH_RAFT_RAFT_CORE_HPP

#include "pomeloswitch/raft/entry_log.hpp"
#include "pomeloswitch/raft/peer_memory.hpp"
#include "pomeloswitch/raft/raft_types.hpp"

#include <functional>
#include <map>
#include <set>

namespace pomelo {

enum class raft_role { Follower, PreCandidate, Candidate, Leader };

class raft_core {
public:
  struct options {
    std::string HostId;
    std::uint64_t RunId = 0; //!< Random for each process start.
    raft_times Times;
    raft_limits Limits;
    //! Random numbers for election timeouts.
    std::function<std::uint64_t()> Random;
  };

  raft_core(options Options, stored_state Stored, raft_time Now);

  // ---- Events
  void tick(raft_time Now);
  void receive(const wire::raft_message &Message, raft_time Now);
  //! Reports a batch of takeBatch() as durable.
  void synced(const storage_batch &Batch, raft_time Now);
  //! Begins a new group with \p Config. Only one founding member may do so, and
  //! only while all of them are blank.
  void found(const wire::raft_config &Config, raft_time Now);
  //! Appends a command if this host leads; returns its index.
  std::optional<std::uint64_t> propose(std::string Command);
  //! Hands over a snapshot of the state at \p Index and drops entries up to
  //! \p DropUpTo, which is at most \p Index.
  void compact(std::uint64_t Index, std::string State, std::uint64_t DropUpTo);

  // ---- Changes of the group. They return nothing or a reason for refusal.
  std::optional<std::string> addLearner(const wire::raft_member &Member);
  std::optional<std::string> removeMember(const std::string &HostId);

  // ---- Results
  //! Messages that may be sent at once.
  std::vector<wire::raft_message> takeMessages(raft_time Now);
  //! What has to be made durable next, with the messages that wait for it; the
  //! batch may be empty but for the messages. One batch is written at a time.
  storage_batch takeBatch();
  //! Committed entries that were not taken yet, in order.
  std::vector<wire::raft_entry> takeCommitted();
  //! A snapshot to replace the applied state with, or null.
  std::shared_ptr<const wire::raft_snapshot> takeInstall();

  // ---- State
  [[nodiscard]] raft_role role() const { return Role; }
  [[nodiscard]] std::uint64_t term() const { return Vote.term(); }
  [[nodiscard]] const std::string &leaderId() const { return LeaderId; }
  [[nodiscard]] std::uint64_t commitIndex() const { return Commit; }
  [[nodiscard]] const entry_log &log() const { return Log; }
  //! Whether nothing was ever stored here: no vote, entry or snapshot.
  [[nodiscard]] bool blank() const {
    return term() == 0 && Log.lastIndex() == 0;
  }
  [[nodiscard]] const wire::raft_identity &identity() const { return Identity; }
  //! Whether a peer remembers a newer log of this replica than this one.
  [[nodiscard]] bool rolledBack() const { return RolledBack; }
  //! Whether no other leader can have been elected at \p Now and everything
  //! that was committed before is known here to be committed.
  [[nodiscard]] bool leadershipConfirmed(raft_time Now) const;
  //! The first index of the term that this host leads.
  [[nodiscard]] std::uint64_t termStart() const { return TermStart; }
  //! The last entry known to be durable on \p HostId; only at the leader.
  [[nodiscard]] std::uint64_t matchOf(const std::string &HostId) const;

private:
  struct progress {
    std::string ReplicaId;
    std::uint64_t Match = 0;
    std::uint64_t Next = 1;
    bool Probing = true; //!< Where the logs agree is not known yet.
    bool Due = true;     //!< A message is to be sent even without entries.
    raft_time AnsweredSentAt{}; //!< When the latest answered request was sent.
    raft_time SnapshotSentAt{};
  };
  using handler = void (raft_core::*)(const wire::raft_message &, raft_time);

  // raft_core.cpp
  void receiveIdentified(const wire::raft_message &Message, raft_time Now);
  bool acceptSender(const wire::raft_message &Message);
  wire::raft_message makeMessage(const std::string &ToHost) const;
  void answer(wire::raft_message Message);
  void send(wire::raft_message Message);
  void setTerm(std::uint64_t Term, const std::string &VotedFor);
  void append(wire::raft_entry Entry);

  // raft_election.cpp
  void becomeFollower(std::uint64_t Term, const std::string &Leader,
                      raft_time Now);
  void startPreVote(raft_time Now);
  void startElection(raft_time Now);
  void becomeLeader(raft_time Now);
  void requestVotes(bool PreVote);
  void countVote(const std::string &HostId, raft_time Now);
  void resetElectionTimer(raft_time Now);
  bool hearsLeader(raft_time Now) const;
  raft_time quorumAnsweredAt(raft_time Now) const;
  void onVoteRequest(const wire::raft_message &Message, raft_time Now);
  void onVoteAnswer(const wire::raft_message &Message, raft_time Now);

  // raft_replication.cpp
  void onAppendRequest(const wire::raft_message &Message, raft_time Now);
  void onAppendAnswer(const wire::raft_message &Message, raft_time Now);
  void onSnapshotRequest(const wire::raft_message &Message, raft_time Now);
  void acceptEntries(const wire::append_request &Request);
  void answerAppend(const wire::raft_message &Message, bool Accepted,
                    std::uint64_t Match);
  void replicateTo(const wire::raft_member &Member, raft_time Now);
  void sendSnapshot(const wire::raft_member &Member, progress &Progress,
                    raft_time Now);
  void advanceCommit();

  // raft_membership.cpp
  const wire::raft_member *findMember(const std::string &HostId) const;
  bool isVoter(const std::string &HostId) const;
  std::size_t quorum() const;
  std::optional<std::string> changeRefusal() const;
  std::optional<std::string> proposeConfig(wire::raft_config Config);
  void fitProgress();
  void advanceMembership();
  void onIdentityAnswer(const wire::raft_message &Message, raft_time Now);

  options Options;
  wire::raft_identity Identity;
  wire::raft_vote Vote;
  entry_log Log;
  std::shared_ptr<const wire::raft_snapshot> Snapshot;
  peer_memory Peers;
  raft_role Role = raft_role::Follower;
  std::string LeaderId;
  std::uint64_t Commit = 0;
  std::uint64_t Delivered = 0; //!< Last entry handed out by takeCommitted().
  std::uint64_t SyncedIndex = 0;
  std::uint64_t SyncedTerm = 0;  //!< Term of the entry at SyncedIndex.
  std::uint64_t DurableTerm = 0; //!< Latest Vote.term() that is durable.
  std::uint64_t TermStart = 0;
  bool RolledBack = false;

  raft_time ElectionDue;
  raft_time HeardLeaderAt;
  raft_time HeartbeatDue{};
  raft_time LeaderSince{};
  std::set<std::string> Votes;
  std::map<std::string, progress> Progress; //!< Leader only, without itself.

  std::vector<wire::raft_message> Outgoing;
  std::vector<wire::raft_message> OutgoingAfterSync;
  storage_batch Batch;
  std::shared_ptr<const wire::raft_snapshot> Install;
};

} // namespace pomelo

#endif
