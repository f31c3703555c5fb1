//! The replicated log of a control host. Connects raft_core to the network and
//! the storage.
#ifndef POMELOSWITCH_RAFT_RAFT_LOG_HPP
#define POMELOSWITCH_RAFT_RAFT_LOG_HPP

#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/raft/group_bootstrap.hpp"
#include "pomeloswitch/raft/growing_pause.hpp"
#include "pomeloswitch/raft/log_storage.hpp"
#include "pomeloswitch/raft/peer_network.hpp"
#include "pomeloswitch/raft/raft_core.hpp"
#include "pomeloswitch/raft/replicated_log.hpp"
#include "pomeloswitch/raft/storage_worker.hpp"
#include "pomeloswitch/settings/common_settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>

namespace pomelo {

//! Implements replicated_log with Raft. Runs on the control thread; only
//! storage writes use a thread of their own.
class raft_log final : public replicated_log {
public:
  struct options {
    std::string HostId;
    std::string FailureDomain;
    std::string Address; //!< IP:port at which other control hosts reach this.
    std::string Secret;
    std::vector<host_address> Members; //!< Addresses known from the start.
    //! The hosts that found the group together; empty if this host was not
    //! started together with them. It need not be one of them. Those that the
    //! storage names take their place.
    std::vector<host_address> Founders;
    //! How many hosts of a group that this one founds may be lost at once.
    unsigned ToleratedLosses = 0;
    raft_times Times;
    //! A snapshot is taken once this many entries, or bytes of entries, were
    //! applied since the last one. A host that starts applies those after it
    //! again before it can serve.
    std::uint64_t ReplayEntries = 1000;
    std::size_t ReplayBytes = std::size_t{128} << 10;
    //! Size in bytes of the entries held in memory at which all that are
    //! applied are dropped.
    std::size_t MemoryBytes = std::size_t{8} << 20;
    //! Number of applied entries kept in memory after a snapshot, so that hosts
    //! that lag behind can catch up without it.
    std::uint64_t RetainedEntries = 2000;
  };

  //! Loads the stored state. If the disk refuses that for now, the host takes
  //! part once it no longer does. \throws pomelo_error StorageFailed if the
  //! stored data is damaged.
  raft_log(boost::asio::io_context &Io, options Options,
           storage_opener OpenStorage);

  void start(applier Applier) override;
  void stop() override;
  void propose(std::string Command, completion Done) override;
  void deliver(const std::shared_ptr<peer_link> &Link,
               const wire::raft_message &Message) override;
  [[nodiscard]] bool leading() const override { return Leading; }
  [[nodiscard]] bool leadershipConfirmed() const override;
  [[nodiscard]] std::string leaderId() const override;
  [[nodiscard]] bool leaderReachable() const override;
  bool sendToLeader(const wire::envelope &Message) override;
  [[nodiscard]] leader_stamp latestStamp() const override;
  [[nodiscard]] std::optional<std::chrono::nanoseconds>
  ageOf(const leader_stamp &Stamp) const override;
  [[nodiscard]] std::uint64_t commitIndex() const override;
  [[nodiscard]] std::optional<std::vector<committed_entry>>
  entriesFrom(std::uint64_t First, std::size_t MaxBytes) const override;
  [[nodiscard]] std::vector<control_member> members() const override;
  std::uint64_t addMember(const host_address &Host,
                          const std::string &Replaces) override;
  std::uint64_t removeMember(const std::string &HostId) override;

  //! Whether this host knows what it has durably stored, and may act on it.
  [[nodiscard]] bool takesPart() const override {
    return !Failed && !Stopped && !Suspended;
  }

private:
  struct pending_proposal {
    std::uint64_t Term = 0;
    completion Done;
  };

  //! Options of a core that starts now.
  raft_core::options coreOptions();
  //! Connects to other hosts and applies what is known to be committed.
  void takePart();
  void receive(const wire::raft_message &Message);
  void onFoundRequest(const wire::raft_message &Message);
  void onSynced(const storage_batch &Batch,
                const std::optional<std::string> &Failure);
  void tick();
  void bootstrapGroup(raft_time Now);
  void scheduleAdvance();
  //! Sends, writes and applies everything that the core has ready.
  void advance();
  void sendAll(const std::vector<wire::raft_message> &Messages, raft_time Now);
  void writeNext(raft_time Now);
  void applyCommitted();
  void installSnapshot(const wire::raft_snapshot &Snapshot);
  void applyEntry(const wire::raft_entry &Entry);
  void updateLeadership();
  //! Connects to all control hosts that this host knows.
  void connectHosts();
  //! Logs each step of a change of the group.
  void logMembership();
  void logJoinRefusal();
  void takeSnapshotIfDue();
  //! Ends the part of this host for good.
  void fail(const std::string &Reason);
  void stopLeading();

  // raft_log_recovery.cpp
  //! Ends the part of this host until its storage could be opened anew.
  void suspend(const std::string &Reason);
  void reopenAfterPause();
  void reopen();
  void onReopened(std::optional<stored_state> Stored,
                  const std::string &Failure);
  //! Continues from \p Stored as a newly started process would.
  void restore(stored_state Stored);
  void failProposals(error_kind Kind);
  void requireLeadership() const;
  void requireNoOtherChange() const;
  [[nodiscard]] std::string addressOf(const wire::raft_member &Member) const;
  //! Returns the address that the settings give \p HostId, or nothing.
  [[nodiscard]] std::optional<std::string>
  settingsAddress(const std::string &HostId) const;

  boost::asio::io_context &Io;
  options Options;
  component_logger Log{"raft"};
  std::mt19937_64 Random;
  raft_core Core;
  group_bootstrap Bootstrap;
  peer_network Network;
  storage_worker Worker;
  boost::asio::steady_timer Ticker;
  boost::asio::steady_timer Reopening;
  growing_pause ReopenPause;
  std::string SuspendedFor; //!< Reason of the last failure logged.
  applier Applier;
  std::map<std::uint64_t, pending_proposal> Proposals; //!< By log index.
  std::uint64_t Applied = 0;
  std::uint64_t SnapshotIndex = 0;
  std::size_t BytesSinceSnapshot = 0; //!< Of applied entries.
  std::uint64_t ConnectedConfig = 0;
  std::size_t ConnectedHosts = 0; //!< Known hosts when last connected.
  std::uint64_t LoggedConfig = 0;
  std::map<std::string, std::string> LoggedMembers; //!< Role by host id.
  std::string LoggedRefusal;
  std::uint64_t LeaderTerm = 0;
  raft_time BootstrapDue{};
  bool Leading = false;
  bool Failed = false;
  bool Suspended = false;
  bool AdvanceScheduled = false;
  bool Stopped = false;
  //! Expires with this object, before callbacks that are still queued.
  std::shared_ptr<void> Alive = std::make_shared<bool>();
};

} // namespace pomelo

#endif
