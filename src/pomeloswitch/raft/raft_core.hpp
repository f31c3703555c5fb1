//! The Raft protocol: elections, replication and membership changes.
//!
//! A deterministic state machine that performs no I/O. Its inputs are messages,
//! ticks and completed syncs. Its outputs, returned by the take functions, are
//! messages to send, batches to make durable and committed entries.
#ifndef POMELOSWITCH_RAFT_RAFT_CORE_HPP
#define POMELOSWITCH_RAFT_RAFT_CORE_HPP

#include "pomeloswitch/raft/entry_log.hpp"
#include "pomeloswitch/raft/leader_stamp.hpp"
#include "pomeloswitch/raft/raft_types.hpp"
#include "pomeloswitch/raft/rollback_detector.hpp"
#include "pomeloswitch/settings/common_settings.hpp"

#include <functional>
#include <map>
#include <set>

namespace pomelo {

//! A PreCandidate asks for votes without increasing its term.
enum class raft_role { Follower, PreCandidate, Candidate, Leader };

//! The state of one replica. Not thread-safe.
class raft_core {
public:
  struct options {
    std::string HostId;
    std::string FailureDomain;
    std::string Address; //!< IP:port of the inner protocol.
    //! Control hosts named in the settings.
    std::vector<host_address> KnownHosts;
    //! Whether this host may found a group. While it is blank it waits for
    //! that and does not ask to be taken in.
    bool MayFound = false;
    //! Whether the data folder was created at the first start of the system. A
    //! host that is no founder then takes the place of no voter that answers.
    bool FirstStart = false;
    std::uint64_t RunId = 0; //!< Random, chosen at each process start.
    raft_times Times;
    raft_limits Limits;
    //! Source of random numbers for election timeouts.
    std::function<std::uint64_t()> Random;
  };

  //! Restores the replica from \p Stored.
  raft_core(options Options, stored_state Stored, raft_time Now);

  // ---- Events
  //! Handles timeouts; must be called periodically.
  void tick(raft_time Now);
  //! Handles a message of another control host.
  void receive(const wire::raft_message &Message, raft_time Now);
  //! Records that a batch returned by takeBatch() is durable.
  void synced(const storage_batch &Synced, raft_time Now);
  //! Creates a new group with \p Config. Does nothing unless this replica is
  //! blank. Must be called on only one of the initial members, and only while
  //! all of them are blank.
  void bootstrap(const wire::raft_config &Config, raft_time Now);
  //! Appends a command and returns its index, or nullopt if this host is not
  //! the leader.
  std::optional<std::uint64_t> propose(std::string Command);
  //! Stores \p State as the snapshot at \p Index and removes entries up to and
  //! including \p DropUpTo, which must not exceed \p Index.
  void compact(std::uint64_t Index, std::string State, std::uint64_t DropUpTo);

  // ---- Membership changes. They return nullopt, or the reason for refusal.
  //! Adds a host that is to become a voter, or lets a learner become one, in
  //! place of the member that \p Member names, if any.
  std::optional<std::string> addLearner(const wire::raft_member &Member);
  //! The removed replica is not taken in again.
  std::optional<std::string> removeMember(const std::string &HostId);
  //! Returns why no membership change at all is possible now.
  [[nodiscard]] std::optional<std::string> changeRefusal() const;

  // ---- Outputs
  //! Returns the messages that may be sent immediately.
  std::vector<wire::raft_message> takeMessages(raft_time Now);
  //! Returns the state to make durable next and the messages to send after
  //! that. The batch may consist of messages only. Only one batch may be
  //! written at a time.
  storage_batch takeBatch();
  //! Returns the committed entries since the previous call, in order.
  std::vector<wire::raft_entry> takeCommitted();
  //! Returns the snapshot that must replace the applied state, or null.
  std::shared_ptr<const wire::raft_snapshot> takeSnapshotToInstall();

  // ---- State
  [[nodiscard]] raft_role role() const { return Role; }
  [[nodiscard]] std::uint64_t term() const { return Vote.term(); }
  [[nodiscard]] const std::string &leaderId() const { return LeaderId; }
  //! Whether another host leads and was heard within the election timeout.
  [[nodiscard]] bool followsLeader(raft_time Now) const {
    return Role == raft_role::Follower && !LeaderId.empty() &&
           Now - LastLeaderContact < Options.Times.ElectionMin;
  }
  //! Returns the stamp of the leader's latest message.
  [[nodiscard]] leader_stamp latestStamp() const { return LatestStamp; }
  //! Returns how long ago this host sent the message with this stamp, or
  //! nothing if it has not led since then.
  [[nodiscard]] std::optional<raft_time::duration>
  ageOf(const leader_stamp &Stamp, raft_time Now) const;
  [[nodiscard]] std::uint64_t commitIndex() const { return Commit; }
  [[nodiscard]] const entry_log &log() const { return Log; }
  //! Returns whether this replica has never stored a vote, entry or snapshot.
  [[nodiscard]] bool blank() const {
    return term() == 0 && Log.lastIndex() == 0;
  }
  [[nodiscard]] const wire::raft_identity &identity() const { return Identity; }
  //! Addresses of the control hosts that this host can ask to be taken in, by
  //! host id: those of the settings and those that others have named.
  [[nodiscard]] const std::map<std::string, std::string> &knownHosts() const {
    return KnownHosts;
  }
  //! Why the leader refused to take this host in; empty if it did not.
  [[nodiscard]] const std::string &joinRefusal() const { return JoinRefusal; }
  //! Returns whether a peer has seen a newer log of this replica, i.e. whether
  //! the data folder was replaced by an older copy.
  [[nodiscard]] bool rolledBack() const { return RolledBack; }
  //! Returns whether this host is the leader, no other leader can have been
  //! elected by \p Now, and this host knows the commit of all entries that
  //! earlier leaders committed.
  [[nodiscard]] bool leadershipConfirmed(raft_time Now) const;
  //! Returns the index of the first entry of the term in which this host last
  //! became leader.
  [[nodiscard]] std::uint64_t termStart() const { return TermStart; }
  //! Returns the index of the last entry known to be durable on \p HostId. For
  //! other hosts only the leader knows it; elsewhere the result is 0.
  [[nodiscard]] std::uint64_t matchIndexOf(const std::string &HostId) const;

private:
  //! Replication state of one follower or learner, tracked by the leader.
  struct progress {
    std::string ReplicaId;
    std::uint64_t Match = 0;
    std::uint64_t Next = 1;
    bool Probing = true; //!< The last matching entry is not known yet.
    bool SendDue = true; //!< Send a request even without entries.
    raft_time LastAnsweredSendTime{}; //!< Of the latest answered request.
    raft_time AddedAt{};              //!< When this leader learned of it.
    raft_time SnapshotSentAt{};
  };
  using handler = void (raft_core::*)(const wire::raft_message &, raft_time);

  // raft_core.cpp
  void dispatch(const wire::raft_message &Message, raft_time Now);
  bool validateSender(const wire::raft_message &Message);
  wire::raft_message makeMessage(const std::string &ToHost) const;
  //! Sends \p Message after the next batch is durable.
  void sendAfterSync(wire::raft_message Message);
  //! Sends \p Message immediately, or after the next batch if the current term
  //! is not durable yet.
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
  //! Returns whether this host refuses other candidates because a leader was
  //! in contact within the minimum election timeout.
  bool hasLiveLeader(raft_time Now) const;
  //! Returns the latest time such that a quorum has answered requests that
  //! this leader sent then or later.
  raft_time lastQuorumContact(raft_time Now) const;
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
  std::size_t voterCount() const;
  std::size_t quorum() const;
  std::optional<std::string> proposeConfig(wire::raft_config Config);
  //! Updates Progress after a configuration change; new replicas start over.
  void rebuildProgress();
  void advanceMembership(raft_time Now);
  bool removeReplacedVoter(raft_time Now);
  bool promoteLearner(raft_time Now);
  bool removeSilentLearner(raft_time Now);
  //! How long a member has answered nothing; zero for this host.
  raft_time::duration silence(const std::string &HostId, raft_time Now) const;
  bool isReady(const wire::raft_member &Learner, raft_time Now) const;
  std::vector<const wire::raft_member *> readyLearners(raft_time Now) const;
  std::size_t votersIn(const std::string &FailureDomain) const;
  //! Returns a voter, not this host, of a failure domain that has at least two
  //! voters more than that of \p Learner, or nothing.
  std::optional<std::string>
  crowdedVoterFor(const wire::raft_member &Learner) const;
  //! Whether a majority would be in touch with one more voter that is.
  bool majorityWithOneMore(raft_time Now) const;
  //! Returns the voter that \p Learner is to replace, or nothing.
  std::optional<std::string> lostVoterFor(const wire::raft_member &Learner,
                                          raft_time Now) const;
  void onIdentityAnswer(const wire::raft_message &Message, raft_time Now);

  // raft_join.cpp
  void learnHosts();
  bool mayAskToJoin(raft_time Now) const;
  void askToJoin(raft_time Now);
  void onJoinRequest(const wire::raft_message &Message, raft_time Now);
  void onJoinAnswer(const wire::raft_message &Message);
  //! Makes the sender a learner. Returns why not, or nullopt.
  std::optional<std::string> takeIn(const wire::raft_message &Message,
                                    raft_time Now);
  //! Returns the only voter of \p FailureDomain that no learner in touch
  //! replaces yet, or an empty string.
  std::string replaceableVoterIn(const std::string &FailureDomain,
                                 raft_time Now) const;

  options Options;
  wire::raft_identity Identity;
  wire::raft_vote Vote;
  entry_log Log;
  std::shared_ptr<const wire::raft_snapshot> Snapshot;
  rollback_detector RollbackDetector;
  raft_role Role = raft_role::Follower;
  std::string LeaderId;
  std::uint64_t Commit = 0;
  std::uint64_t LastTaken = 0; //!< Last entry returned by takeCommitted().
  std::uint64_t SyncedIndex = 0;
  std::uint64_t SyncedTerm = 0;  //!< Term of the entry at SyncedIndex.
  std::uint64_t DurableTerm = 0; //!< Latest Vote.term() that is durable.
  std::uint64_t TermStart = 0;
  bool RolledBack = false;

  std::map<std::string, std::string> KnownHosts; //!< Addresses by host id.
  std::string JoinRefusal;
  raft_time JoinDue{};
  raft_time StartedAt;
  raft_time ElectionDue;
  raft_time LastLeaderContact;
  leader_stamp LatestStamp;
  raft_time HeartbeatDue{};
  raft_time LeaderSince{};
  std::set<std::string> Votes;
  //! By host id, without this host; empty unless this host is the leader.
  std::map<std::string, progress> Progress;

  std::vector<wire::raft_message> Outgoing;
  std::vector<wire::raft_message> OutgoingAfterSync;
  storage_batch Batch;
  std::shared_ptr<const wire::raft_snapshot> SnapshotToInstall;
};

} // namespace pomelo

#endif
