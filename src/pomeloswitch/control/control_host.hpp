//! The control process: maintains the replicated state, membership and slot
//! ownership, and serves the administration API.
#ifndef POMELOSWITCH_CONTROL_CONTROL_HOST_HPP
#define POMELOSWITCH_CONTROL_CONTROL_HOST_HPP

#include "pomeloswitch/admission/rate_ledger.hpp"
#include "pomeloswitch/clock/stall_detector.hpp"
#include "pomeloswitch/control/admin_api.hpp"
#include "pomeloswitch/control/state_feed.hpp"
#include "pomeloswitch/http/server_drain.hpp"
#include "pomeloswitch/http/simple_server.hpp"
#include "pomeloswitch/membership/lease_table.hpp"
#include "pomeloswitch/observe/activity_meter.hpp"
#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/ownership/load_table.hpp"
#include "pomeloswitch/ownership/order_scheduler.hpp"
#include "pomeloswitch/ownership/overloaded_owners.hpp"
#include "pomeloswitch/ownership/slot_planner.hpp"
#include "pomeloswitch/ownership/target_caller.hpp"
#include "pomeloswitch/raft/replicated_log.hpp"
#include "pomeloswitch/rollout/rollout_coordinator.hpp"
#include "pomeloswitch/settings/control_settings.hpp"
#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelo::wire {
class envelope;
class forwarded_reports;
class heartbeat;
class heartbeat_ack;
class proposal;
class token_request;
} // namespace pomelo::wire

namespace pomelo {

//! What a control host spends its time on.
enum control_activity : std::size_t {
  HandleHeartbeat,
  HandleTokenRequest,
  HandleTargetReport,
  ApplyCommit,
  SendLog,
  ScheduleOrders,
  HandleOrderResult,
  Plan,
};

//! Durations of the calls to targets under the given settings.
[[nodiscard]] order_times targetOrderTimes(const control_settings &Settings);

//! How long an operator's change may take. Its caller then counts it as not
//! carried out and may give newer orders through other hosts, so that it must
//! not take effect later.
inline constexpr milliseconds ChangePatience{900};

class control_host final : public admin_backend {
public:
  class builder;
  ~control_host() override;

  void start();
  //! Starts a graceful stop: operators and the callers of \p Others are no
  //! longer accepted, but what was accepted is answered as if nothing had
  //! happened, within a limit. Then stops and calls \p OnStopped. Has no effect
  //! if a stop has begun.
  void beginStop(std::vector<simple_server *> Others,
                 std::function<void()> OnStopped);
  //! Stops at once.
  void stop();

  //! Records a target's status report if this host is the confirmed leader, or
  //! forwards it to the leader. Returns false if there is none to be reached,
  //! or if a follower was told that the target is leaving: that must be
  //! committed before it is acknowledged.
  bool targetHeard(target_status Status);

  //! Returns the bound addresses as a JSON object.
  [[nodiscard]] std::string describe() const;

  //! Proposes an operator's change, at the leader if this host does not lead.
  //! \p Done is called once this host has applied it, and not at all if it is
  //! lost or late on its way: the leader refuses one that was submitted more
  //! than ChangePatience ago. Returns false if no leader can be reached.
  //! \throws pomelo_error NoQuorum if the call may have waited unread for long.
  bool submitChange(wire::command Command, change_completion Done);

  // admin_backend
  void proposeChange(wire::command Command, change_completion Done) override;
  [[nodiscard]] const cluster_state &state() const override { return State; }
  [[nodiscard]] const lease_table &leases() const override { return Leases; }
  [[nodiscard]] const replicated_log &log() const override { return *Log; }
  [[nodiscard]] replicated_log &log() override { return *Log; }
  [[nodiscard]] const control_settings &settings() const override {
    return Settings;
  }

private:
  struct session;

  control_host(boost::asio::io_context &Io, control_settings Settings,
               std::unique_ptr<replicated_log> Log,
               std::unique_ptr<target_caller> Caller);

  replicated_log::applier makeApplier();
  void onCommitted(const committed_entry &Entry);
  void logDecision(const wire::command &Command, const apply_result &Result,
                   std::uint64_t Index) const;
  void onMessage(const std::shared_ptr<peer_link> &Link,
                 const wire::envelope &Message);
  void onHeartbeat(const std::shared_ptr<peer_link> &Link,
                   const wire::heartbeat &Heartbeat);
  void onTokenRequest(const std::shared_ptr<peer_link> &Link,
                      const wire::token_request &Request);
  void addQuotaGrant(const wire::heartbeat &Heartbeat, mono_time Now,
                     wire::heartbeat_ack &Ack);
  void recordTarget(target_status Status);
  void completeForwarded(const wire::command &Command,
                         const apply_result &Result, std::uint64_t Index);
  void onForwardedReports(const wire::forwarded_reports &Forwarded);
  void forwardReports();
  void onProposal(const std::shared_ptr<peer_link> &Link,
                  const wire::proposal &Proposal);
  [[nodiscard]] bool isOverdue(const wire::proposal &Proposal) const;
  void sendLog(peer_link &Link, session &Session);
  void sendLogToAll(mono_time Now);
  void scheduleSendLog();
  void recordTargetReports(const wire::heartbeat &Heartbeat, mono_time Now,
                           wire::heartbeat_ack &Ack);
  void addOverloadedOwners(wire::heartbeat_ack &Ack) const;
  void updateMembers();
  void addMembers(const wire::heartbeat &Heartbeat,
                  wire::heartbeat_ack &Ack) const;
  void tick();
  void lead(mono_time Now);
  void updateOverloadedOwners(mono_time Now);
  void advanceRollouts(mono_time Now);
  [[nodiscard]] bool planDue(mono_time Now) const;
  void planAndPropose(mono_time Now);
  void sendTargetOrders(mono_time Now);
  void onTargetOrderEnded(const target_order &Order, const order_result &Result,
                          std::uint64_t Term);
  void logActivity(mono_time Now);
  boost::asio::awaitable<text_response>
  handleAdmin(const text_request &Request);

  boost::asio::io_context &Io;
  control_settings Settings;
  component_logger Logger{"control"};
  activity_meter Activity;
  std::unique_ptr<replicated_log> Log;
  cluster_state State;
  lease_table Leases;
  rate_ledger Rates;
  load_table Loads;
  slot_planner Planner;
  rollout_coordinator Rollouts;
  mono_time RolloutsAt{}; //!< When they were last advanced.
  order_scheduler Orders;
  state_feed Feed;
  std::unique_ptr<target_caller> Caller; //!< Null if targets are not called.
  std::uint64_t OrderTerm = 0; //!< Recognizes results of earlier terms.
  std::vector<owner_share> OverloadedOwners; //!< Told to the entry hosts.
  mono_time OverloadedOwnersAt{};
  std::map<std::uint64_t, apply_result> Results;
  //! A change that was sent to the leader.
  struct forwarded_change {
    mono_time SentAt{};
    change_completion Done;
  };
  //! By operation id.
  std::map<std::string, forwarded_change, std::less<>> ForwardedChanges;
  std::uint64_t LastForwarded = 0; //!< Number of the latest one.
  //! Members of the control group at the latest tick, and a hash of them.
  std::vector<control_member> Members;
  std::uint64_t MembersHash = 0;
  //! Reports that the next tick forwards to the leader, by target id.
  std::map<std::string, target_status> ReportsToForward;
  std::map<std::shared_ptr<peer_link>, std::unique_ptr<session>> Sessions;
  std::unique_ptr<peer_listener> Listener;
  std::unique_ptr<admin_api> Admin;
  std::unique_ptr<simple_server> AdminServer;
  std::unique_ptr<server_drain> Drain; //!< Null until a stop has begun.
  boost::asio::steady_timer Ticker;
  std::size_t PlannedInFlight = 0;
  std::uint64_t PlannedIndex = 0; //!< State index of the latest plan.
  mono_time PlannedAt{};
  bool PlanInputsChanged = true;  //!< Since the latest plan.
  std::uint64_t LogSentIndex = 0; //!< Latest index sent to all hosts.
  mono_time LogSentAt{};          //!< When it was sent.
  bool SendLogScheduled = false;
  bool LogUrgent = false; //!< The log has an urgent entry that was not sent.
  mono_time LastTickAt{};
  stall_detector Stalls;
  mono_time::duration MostTickDelay{0}; //!< Since the activity was logged.
  mono_time ActivityLoggedAt{};
};

//! Builds a control host. build() binds the addresses.
class control_host::builder {
public:
  builder &withIo(boost::asio::io_context &Value);
  builder &withSettings(control_settings Value);
  builder &withLog(std::unique_ptr<replicated_log> Value);
  //! Sets how targets are called to grant and release slots. Default: targets
  //! are not called.
  builder &withTargetCaller(std::unique_ptr<target_caller> Value);
  //! \throws pomelo_error BadSettings without an I/O context or a log,
  //!         boost::system::system_error if an address cannot be bound.
  std::unique_ptr<control_host> build();

private:
  boost::asio::io_context *Io = nullptr;
  control_settings Settings;
  std::unique_ptr<replicated_log> Log;
  std::unique_ptr<target_caller> Caller;
};

//! Opens the Raft log in the control host's data folder.
//! \throws pomelo_error StorageFailed if the folder is damaged.
std::unique_ptr<replicated_log> openRaftLog(boost::asio::io_context &Io,
                                            const control_settings &Settings);

} // namespace pomelo

#endif
