//! The replicated log of a control host: runs the core on the control thread
//! between the network and the storage.
#ifndef POMELOSWITCH_RAFT_RAFT_LOG_HPP
#define POMELOSWITCH_RAFT_RAFT_LOG_HPP

#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/raft/founding.hpp"
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

class raft_log final : public replicated_log {
public:
  struct options {
    std::string HostId;
    std::string Secret;
    std::vector<host_address> Members; //!< Founding members.
    raft_times Times;
    //! A snapshot is taken after so many applied entries or bytes of entries.
    std::uint64_t SnapshotEntries = 8000;
    std::size_t SnapshotBytes = std::size_t{8} << 20;
    //! Applied entries that stay in memory for hosts that lag behind.
    std::uint64_t KeptEntries = 2000;
  };

  //! \throws pomelo_error StorageFailed if what \p Storage holds is damaged.
  raft_log(boost::asio::io_context &Io, options Options,
           std::unique_ptr<log_storage> Storage);

  void start(applier Applier) override;
  void stop() override;
  void propose(std::string Command, completion Done) override;
  void deliver(const std::shared_ptr<peer_link> &Link,
               const wire::raft_message &Message) override;
  [[nodiscard]] bool leading() const override { return Leading; }
  [[nodiscard]] bool leadershipConfirmed() const override;
  [[nodiscard]] std::string leaderId() const override;
  [[nodiscard]] std::uint64_t commitIndex() const override;
  [[nodiscard]] std::optional<std::vector<committed_entry>>
  entriesFrom(std::uint64_t First, std::size_t MaxBytes) const override;
  [[nodiscard]] std::vector<control_member> members() const override;
  std::uint64_t addMember(const host_address &Host,
                          const std::string &Replaces) override;
  std::uint64_t removeMember(const std::string &HostId) override;

private:
  struct pending_proposal {
    std::uint64_t Term = 0;
    completion Done;
  };

  void receive(const wire::raft_message &Message);
  void onFoundRequest(const wire::raft_message &Message);
  void onSynced(const storage_batch &Batch,
                const std::optional<std::string> &Failure);
  void tick();
  void askFoundingMembers(raft_time Now);
  void pumpSoon();
  void pump();
  void sendAll(const std::vector<wire::raft_message> &Messages, raft_time Now);
  void writeNext(raft_time Now);
  void applyCommitted();
  void applyEntry(const wire::raft_entry &Entry);
  void noteLeadership();
  void connectMembers();
  void takeSnapshotIfDue();
  void fail(const std::string &Reason);
  void endProposals(error_kind Kind);
  void requireLeading() const;

  boost::asio::io_context &Io;
  options Options;
  part_log Log{"raft"};
  std::mt19937_64 Random;
  raft_core Core;
  founding Founding;
  peer_network Network;
  storage_worker Worker;
  boost::asio::steady_timer Ticker;
  applier Applier;
  std::map<std::uint64_t, pending_proposal> Proposals; //!< By log index.
  std::uint64_t Applied = 0;
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t ConnectedConfig = 0;
  std::uint64_t LedTerm = 0;
  raft_time FoundingDue{};
  bool Leading = false;
  bool Failed = false;
  bool PumpScheduled = false;
  bool Stopped = false;
};

} // namespace pomelo

#endif
