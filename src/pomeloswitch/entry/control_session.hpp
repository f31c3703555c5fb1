//! Connections of an entry host to the control hosts.
#ifndef POMELOSWITCH_ENTRY_CONTROL_SESSION_HPP
#define POMELOSWITCH_ENTRY_CONTROL_SESSION_HPP

#include "pomeloswitch/entry/heartbeat_schedule.hpp"
#include "pomeloswitch/entry/link_silence.hpp"
#include "pomeloswitch/entry/pending_leases.hpp"
#include "pomeloswitch/entry/proposal_table.hpp"
#include "pomeloswitch/entry/token_schedule.hpp"
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
class quota_report;
class target_report;
class token_answer;
} // namespace pomelo::wire

namespace pomelo {

//! Identifies an adopted state by its log index and configuration version.
struct adopted_state {
  std::uint64_t Index = 0;
  std::uint64_t ConfigVersion = 0;
};

//! Follows the replicated log, sends heartbeats, maintains the entry host's
//! lease and forwards proposals to the leader. Runs on the control thread.
class control_session {
public:
  struct callbacks {
    //! Called after the replicated state has advanced.
    std::function<void(const cluster_state &)> OnState;
    //! Returns the oldest state that any traffic thread routes by.
    std::function<adopted_state()> OldestAdopted;
    //! Returns the lowest quiesced index of all traffic threads.
    std::function<std::uint64_t()> QuiescedIndex;
    //! Adds the quota report to a heartbeat.
    std::function<void(wire::heartbeat &)> AddQuota;
    //! Adds the report of the accounts that need tokens at once, if any.
    std::function<void(wire::quota_report &)> AddTokenReport;
    //! Called with the leader's answer to it.
    std::function<void(const wire::token_answer &)> OnTokens;
    //! Adds the load reports if any changed since the last heartbeat.
    std::function<void(wire::heartbeat &)> AddLoads;
    //! Called with the leader's quota grant, which expires at the given time.
    std::function<void(const wire::heartbeat_ack &, lease_time)> OnQuota;
    //! Called when the host may route by its latest state until \p Until.
    std::function<void(lease_time Until)> OnLease;
    //! Called when the host knows that its state is not the latest and has no
    //! lease on it.
    std::function<void()> OnOutdated;
    //! Called when the leader has recorded a heartbeat's target reports.
    std::function<void(const wire::heartbeat_ack &)> OnAck;
  };

  control_session(boost::asio::io_context &Io, const entry_settings &Settings,
                  std::uint64_t Incarnation, callbacks Callbacks);
  ~control_session();

  void start();
  void stop();

  //! Adds a target's report to the next heartbeat, schedules that heartbeat
  //! soon and returns its sequence number.
  std::uint64_t queueReport(const wire::target_report &Report);
  //! Asks the leader to append \p Command. \p Done is called once, with the
  //! leader's answer, or with null if no leader is known or no answer arrives
  //! within \p Timeout. After a timeout the command may still be committed.
  void propose(wire::command Command, std::chrono::milliseconds Timeout,
               proposal_table::completion Done);
  //! Connects to \p Control, which the settings name, unless its address is
  //! already known.
  void connectTo(const host_address &Control);
  //! Schedules a heartbeat ahead of the regular interval.
  void sendHeartbeatSoon();
  //! Asks for tokens for the requests that wait for some.
  void requestTokens();
  //! Reports in the following heartbeats that this host is stopping.
  void announceStopping() { Stopping = true; }

  [[nodiscard]] const cluster_state &state() const { return State; }

private:
  struct control_host;
  struct sent_heartbeat;

  control_host &addHost(const host_address &Address);
  [[nodiscard]] bool knowsAddress(const std::string &Address) const;
  [[nodiscard]] bool settingsName(const std::string &Id) const;
  void discoverMembers(const wire::heartbeat_ack &Ack);
  void redialSilentHosts(steady_time Now);
  peer_link::handlers makeHandlers(control_host &Host);
  void onMessage(control_host &Host, const wire::envelope &Message);
  bool restoreConfiguration(wire::command &Command);
  void onLogBatch(control_host &Host, const wire::log_batch &Batch);
  void onAck(control_host &Host, const wire::heartbeat_ack &Ack);
  void onTokenAnswer(const wire::token_answer &Answer);
  void sendTokenRequest();
  void applySnapshot(const wire::log_batch &Batch);
  bool applyEntries(control_host &Host, const wire::log_batch &Batch);
  void subscribe(control_host &Host);
  void sendHeartbeat();
  void scheduleProposalExpiry();
  void armHeartbeatTimer();
  void takeLease();
  void logLeaseChange(steady_time Now);
  void logLease(log_level Level, const char *Event, steady_time Now);

  boost::asio::io_context &Io;
  const entry_settings &Settings;
  std::uint64_t Incarnation;
  callbacks Callbacks;
  component_logger Log{"entry.control"};
  //! Whether configurations are asked for as differences.
  bool AcceptsDifferences = true;
  cluster_state State;
  std::vector<std::unique_ptr<control_host>> Hosts;
  control_host *LogSource = nullptr; //!< Host whose log this session follows.
  control_host *Leader = nullptr;    //!< Host that granted the last lease.
  boost::asio::steady_timer HeartbeatTimer;
  heartbeat_schedule Schedule;
  token_schedule Tokens;
  steady_time TimerArmedFor{};      //!< When HeartbeatTimer expires.
  std::uint64_t MembersHash = 0;    //!< heartbeat_ack.members_hash.
  bool ConfirmationAwaited = false; //!< Of an entry applied since a heartbeat.
  std::uint64_t NextSequence = 1;   //!< Of heartbeats and token requests.
  std::map<std::uint64_t, lease_time> SentAt;
  pending_leases PendingLeases;
  lease_time LeaseUntil{};
  bool LeaseWasValid = false; //!< At the last heartbeat.
  steady_time LeaseLoggedAt{};
  std::chrono::milliseconds AnswerTook{0}; //!< Of the latest acknowledgement.
  std::size_t HeartbeatBytes = 0;          //!< Of the latest heartbeat.
  std::map<std::string, std::unique_ptr<wire::target_report>> Reports;
  proposal_table Proposals;
  boost::asio::steady_timer ProposalTimer;
  bool ProposalExpiryScheduled = false;
  bool Stopping = false;
};

} // namespace pomelo

#endif
