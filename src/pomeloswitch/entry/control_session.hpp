//! The entry host's side of its links to the control hosts.
#ifndef POMELOSWITCH_ENTRY_CONTROL_SESSION_HPP
#define POMELOSWITCH_ENTRY_CONTROL_SESSION_HPP

#include "pomeloswitch/entry/proposal_table.hpp"
#include "pomeloswitch/http/traffic_context.hpp"
#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/settings/entry_settings.hpp"
#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelo::wire {
class command;
class heartbeat;
class heartbeat_ack;
class log_batch;
class target_report;
} // namespace pomelo::wire

namespace pomelo {

//! A state by its log index and configuration version.
struct adopted_state {
  std::uint64_t Index = 0;
  std::uint64_t ConfigVersion = 0;
};

//! Follows the replicated log, sends heartbeats and holds the entry host's
//! lease. Runs on the control thread.
class control_session {
public:
  struct callbacks {
    //! The state has moved on.
    std::function<void(const cluster_state &)> OnState;
    //! By which state every traffic thread routes.
    std::function<adopted_state()> Adopted;
    //! The lowest quiesced index of all traffic threads.
    std::function<std::uint64_t()> QuiescedIndex;
    //! Adds the quota report to a heartbeat.
    std::function<void(wire::heartbeat &)> AddQuota;
    //! Adds the load reports that are new since the last heartbeat.
    std::function<void(wire::heartbeat &)> AddLoads;
    //! What the leader granted counts until the time given.
    std::function<void(const wire::heartbeat_ack &, lease_time)> OnQuota;
    //! The host may route until then by the state given last.
    std::function<void(lease_time Until)> OnLease;
    //! A heartbeat's reports have been recorded by the leader.
    std::function<void(const wire::heartbeat_ack &)> OnAck;
  };

  control_session(boost::asio::io_context &Io, const entry_settings &Settings,
                  std::uint64_t Incarnation, callbacks Callbacks);
  ~control_session();

  void start();
  void stop();

  //! Puts a target's report on the next heartbeat, which is sent soon, and
  //! returns that heartbeat's sequence number.
  std::uint64_t report(const wire::target_report &Report);
  //! Asks the leader to append \p Command. \p Done is called once: with the
  //! leader's answer, or with null if none came within \p Timeout; the command
  //! may then still be committed later.
  void propose(wire::command Command, std::chrono::milliseconds Timeout,
               proposal_table::completion Done);
  //! A control host that may not be known yet.
  void meet(const host_address &Control);
  //! Sends a heartbeat soon rather than at the next interval.
  void hurry();
  void announceStopping() { Stopping = true; }

  [[nodiscard]] const cluster_state &state() const { return State; }

private:
  struct control_host;
  struct sent_heartbeat;

  void addHost(const std::string &Id, const std::string &Address);
  void meetMembers(const wire::heartbeat_ack &Ack);
  void resetSilent(steady_time Now);
  peer_link::handlers handlersOf(control_host &Host);
  void onMessage(control_host &Host, const wire::envelope &Message);
  void onLogBatch(control_host &Host, const wire::log_batch &Batch);
  void onAck(control_host &Host, const wire::heartbeat_ack &Ack);
  void applySnapshot(const wire::log_batch &Batch);
  void subscribe(control_host &Host);
  void beat();
  void watchProposals();
  void scheduleBeat(std::chrono::milliseconds Delay);
  void grantAuthority();

  boost::asio::io_context &Io;
  const entry_settings &Settings;
  std::uint64_t Incarnation;
  callbacks Callbacks;
  part_log Log{"entry.control"};
  cluster_state State;
  std::vector<std::unique_ptr<control_host>> Hosts;
  control_host *Source = nullptr; //!< Whose log this host follows.
  control_host *Leader = nullptr; //!< Who acknowledged last.
  boost::asio::steady_timer BeatTimer;
  steady_time BeatDue{};
  std::uint64_t NextSequence = 1;
  std::map<std::uint64_t, lease_time> SentAt;
  steady_time LastAck{};
  // The lease that counts once the state has reached its commit index.
  std::uint64_t LeaseIndex = 0;
  lease_time LeaseUntil{};
  std::map<std::string, std::unique_ptr<wire::target_report>> Reports;
  proposal_table Proposals;
  boost::asio::steady_timer ProposalTimer;
  bool ProposalsWatched = false;
  bool Stopping = false;
};

} // namespace pomelo

#endif
