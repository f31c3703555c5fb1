#include "pomeloswitch/control/control_host.hpp"

#include "pomeloswitch/control/decision_events.hpp"
#include "pomeloswitch/control/rollout_description.hpp"
#include "pomeloswitch/membership/member_planner.hpp"
#include "pomeloswitch/raft/file_storage.hpp"
#include "pomeloswitch/raft/raft_log.hpp"
#include "pomeloswitch/state/command_urgency.hpp"
#include "pomeloswitch/state/committed_command.hpp"
#include "pomeloswitch/state/config_changes.hpp"
#include "pomeloswitch/state/configuration_packing.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <random>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::steady_clock;

constexpr milliseconds TickInterval{20};
//! From one plan to the next if none of the inputs has changed but time.
constexpr milliseconds PlanInterval{100};
//! Entries committed within this time travel to an entry host in one message,
//! unless one of them is urgent.
constexpr milliseconds LogInterval{40};
//! A longer gap between ticks means that this process was stalled.
constexpr milliseconds StallThreshold{500};
constexpr std::size_t MaxRetainedResults = 4096;
//! From one estimate of the overloaded owners to the next.
constexpr milliseconds OverloadInterval{200};
//! From one decision on the roll-outs to the next.
constexpr milliseconds RolloutInterval{100};
//! After it nobody waits for a change that was sent to the leader.
constexpr milliseconds ForwardedChangeTimeout{5000};
//! How long a call may have waited unread for its change to count as new.
constexpr milliseconds LongestUnread{300};
//! In which a host that was stalled reads the calls that waited.
constexpr milliseconds StallAftermath{250};
//! Age of a leader's stamp up to which it carries out the change that bears it.
constexpr milliseconds LongestForwarding = ChangePatience - LongestUnread;
constexpr milliseconds ActivityLogInterval{5000};
//! How long a stop waits for open calls; none waits longer for its commit.
constexpr milliseconds LongestDrain{5500};

//! In the order of control_activity.
constexpr std::array<std::string_view, 8> ActivityNames{
    "heartbeats",  "token_requests",   "target_reports", "commits",
    "log_batches", "order_scheduling", "order_results",  "plans"};

std::uint64_t unixNowMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

//! Identifies the quota grants of one leadership term.
std::uint64_t randomTerm() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) | Device();
}

lease_times leaseTimesOf(const control_settings &Settings) {
  lease_times Times;
  Times.HostLease = milliseconds(Settings.HostLeaseMs);
  return Times;
}

} // namespace

//! Per-link state of a control host.
struct control_host::session {
  feed_position Position;
};

control_host::builder &
control_host::builder::withIo(boost::asio::io_context &Value) {
  Io = &Value;
  return *this;
}

control_host::builder &
control_host::builder::withSettings(control_settings Value) {
  Settings = std::move(Value);
  return *this;
}

control_host::builder &
control_host::builder::withLog(std::unique_ptr<replicated_log> Value) {
  Log = std::move(Value);
  return *this;
}

control_host::builder &
control_host::builder::withTargetCaller(std::unique_ptr<target_caller> Value) {
  Caller = std::move(Value);
  return *this;
}

std::unique_ptr<control_host> control_host::builder::build() {
  if (!Io || !Log)
    throw pomelo_error(error_kind::BadSettings,
                       "a control host needs an I/O context and a log");
  return std::unique_ptr<control_host>(new control_host(
      *Io, std::move(Settings), std::move(Log), std::move(Caller)));
}

control_host::control_host(boost::asio::io_context &Io,
                           control_settings GivenSettings,
                           std::unique_ptr<replicated_log> GivenLog,
                           std::unique_ptr<target_caller> GivenCaller)
    : Io(Io), Settings(std::move(GivenSettings)), Activity(ActivityNames),
      Log(std::move(GivenLog)), Leases(leaseTimesOf(Settings)),
      Rates(Leases.times()), Planner(planner_limits()),
      Rollouts(Settings.Exposure), Orders(targetOrderTimes(Settings)),
      Feed(State, *Log), Caller(std::move(GivenCaller)), Ticker(Io),
      Stalls(LongestUnread, StallAftermath) {
  peer_link::handlers Handlers;
  Handlers.OnOpen = [this](const std::shared_ptr<peer_link> &Link) {
    Sessions.emplace(Link, std::make_unique<session>());
  };
  Handlers.OnMessage = [this](const std::shared_ptr<peer_link> &Link,
                              const wire::envelope &Message) {
    onMessage(Link, Message);
  };
  Handlers.OnClose = [this](const std::shared_ptr<peer_link> &Link) {
    Sessions.erase(Link);
  };
  Listener = std::make_unique<peer_listener>(
      Io, parseEndpoint(Settings.PeerAddress), Settings.ClusterSecret,
      std::move(Handlers));
  Admin = std::make_unique<admin_api>(Io, *this);
  AdminServer = std::make_unique<simple_server>(
      Io, parseEndpoint(Settings.AdminAddress),
      [this](const text_request &Request) { return handleAdmin(Request); });
}

control_host::~control_host() = default;

void control_host::start() {
  Log->start(makeApplier());
  tick();
  Logger.info("Control host {} serves operators on {}.", Settings.HostId,
              toString(AdminServer->address()));
}

void control_host::beginStop(std::vector<simple_server *> Others,
                             std::function<void()> OnStopped) {
  if (Drain)
    return;
  Logger.info("Stopping; answering the calls that are open.");
  Others.push_back(AdminServer.get());
  Drain = std::make_unique<server_drain>(
      Io, std::move(Others), [this, OnStopped = std::move(OnStopped)] {
        stop();
        Logger.info("Stopped.");
        OnStopped();
      });
  Drain->begin(LongestDrain);
}

void control_host::stop() {
  Ticker.cancel();
  Log->stop();
  Listener->stop();
  AdminServer->beginStop();
}

replicated_log::applier control_host::makeApplier() {
  replicated_log::applier Applier;
  Applier.OnCommitted = [this](const committed_entry &Entry) {
    onCommitted(Entry);
  };
  Applier.OnSnapshot = [this](std::uint64_t, const std::string &Bytes) {
    wire::state_snapshot Snapshot;
    if (!Snapshot.ParseFromString(Bytes))
      throw pomelo_error(error_kind::StorageFailed, "cannot parse a snapshot");
    State = cluster_state::fromSnapshot(Snapshot);
  };
  Applier.TakeSnapshot = [this] {
    return State.toSnapshot().SerializeAsString();
  };
  Applier.OnLeadership = [this](bool Leading) {
    PlannedInFlight = 0;
    PlanInputsChanged = true;
    if (Leading) {
      Leases.startTerm(State, steady_clock::now());
      Orders.startTerm(State, steady_clock::now());
      ++OrderTerm;
      Loads.clear();
      Rollouts.startTerm();
      OverloadedOwners.clear();
      Rates.startTerm(randomTerm(), steady_clock::now());
    }
    Logger.info("{} {} leader.", Settings.HostId,
                Leading ? "became the" : "is no longer the");
  };
  return Applier;
}

void control_host::onCommitted(const committed_entry &Entry) {
  const activity_meter::timer Timer(Activity, ApplyCommit);
  const wire::command Command = readCommitted(Entry.Index, Entry.Command);
  Feed.beforeApplying(Entry.Index, Command);
  const apply_result &Result = Results[Entry.Index] =
      State.apply(Entry.Index, Command);
  logDecision(Command, Result, Entry.Index);
  completeForwarded(Command, Result, Entry.Index);
  const bool DomainRestored =
      Command.has_set_drain() && !Command.set_drain().out() &&
      Command.set_drain().scope() == wire::set_drain::FAILURE_DOMAIN;
  if (DomainRestored)
    Leases.resetWarmReports(Command.set_drain().name());
  if (Results.size() > MaxRetainedResults)
    Results.erase(Results.begin());
  LogUrgent |= isUrgent(Command);
  scheduleSendLog();
}

//! Sends once for all entries that are applied together. What may not be sent
//! yet is sent by a later tick.
void control_host::scheduleSendLog() {
  if (std::exchange(SendLogScheduled, true))
    return;
  boost::asio::post(Io, [this] {
    SendLogScheduled = false;
    sendLogToAll(steady_clock::now());
  });
}

//! Only the leader logs: every control host applies the same changes.
void control_host::logDecision(const wire::command &Command,
                               const apply_result &Result,
                               std::uint64_t Index) const {
  const auto Event = eventFor(Command, Result, Index);
  if (Event && Log->leadershipConfirmed())
    Logger.event(log_level::Info, Event->Name, Event->Fields);
}

void control_host::proposeChange(wire::command Command,
                                 change_completion Done) {
  Command.set_time_ms(unixNowMs());
  if (Command.has_replace_configuration())
    packConfiguration(*Command.mutable_replace_configuration());
  std::string Bytes = Command.SerializeAsString();
  if (!isReadableCommand(Bytes)) {
    Logger.warn("Refused a change whose text is not UTF-8.");
    return Done({error_kind::InvalidChange, 0, "a text is not UTF-8"}, 0);
  }
  Log->propose(std::move(Bytes), [this, Done = std::move(Done)](
                                     const proposal_outcome &Outcome) {
    if (Outcome.Failure)
      return Done({Outcome.Failure, 0, "the change was not committed"}, 0);
    const auto Result = Results.find(Outcome.Index);
    Done(Result == Results.end() ? apply_result() : Result->second,
         Outcome.Index);
  });
}

//! An operator's call that meets a follower needs no second connection, and no
//! second response that may be lost.
bool control_host::submitChange(wire::command Command, change_completion Done) {
  if (Stalls.mayHaveWaited(lease_clock::now()))
    throw pomelo_error(error_kind::NoQuorum,
                       "this host was stalled; send the change again");
  if (Log->leadershipConfirmed()) {
    proposeChange(std::move(Command), std::move(Done));
    return true;
  }
  const mono_time Now = steady_clock::now();
  std::erase_if(ForwardedChanges, [Now](const auto &Entry) {
    return Now - Entry.second.SentAt > ForwardedChangeTimeout;
  });
  if (!Log->leaderReachable())
    return false;
  Command.set_operation_id(
      fmt::format("{}/{}/{}", Settings.HostId, unixNowMs(), ++LastForwarded));
  wire::envelope Message;
  *Message.mutable_proposal()->mutable_command() = Command;
  const leader_stamp Stamp = Log->latestStamp();
  Message.mutable_proposal()->mutable_leader_stamp()->set_term(Stamp.Term);
  Message.mutable_proposal()->mutable_leader_stamp()->set_sent_at(Stamp.SentAt);
  if (!Log->sendToLeader(Message))
    return false;
  ForwardedChanges[Command.operation_id()] = {Now, std::move(Done)};
  return true;
}

void control_host::completeForwarded(const wire::command &Command,
                                     const apply_result &Result,
                                     std::uint64_t Index) {
  const auto Found = ForwardedChanges.find(Command.operation_id());
  if (Found == ForwardedChanges.end())
    return;
  const change_completion Done = std::move(Found->second.Done);
  ForwardedChanges.erase(Found);
  Done(Result, Index);
}

void control_host::onMessage(const std::shared_ptr<peer_link> &Link,
                             const wire::envelope &Message) {
  switch (Message.body_case()) {
  case wire::envelope::kHeartbeat:
    return onHeartbeat(Link, Message.heartbeat());
  case wire::envelope::kTokenRequest:
    return onTokenRequest(Link, Message.token_request());
  case wire::envelope::kSubscribe: {
    session &Session = *Sessions.at(Link);
    Session.Position = {
        std::max<std::uint64_t>(1, Message.subscribe().next_index()),
        Message.subscribe().accepts_differences()};
    return sendLog(*Link, Session);
  }
  case wire::envelope::kProposal:
    return onProposal(Link, Message.proposal());
  case wire::envelope::kForwardedReports:
    return onForwardedReports(Message.forwarded_reports());
  case wire::envelope::kRaft:
    return Log->deliver(Link, Message.raft());
  default:
    return;
  }
}

//! Links may deliver what was sent long ago, e.g. after a partition. The sender
//! took the change later than the leader gave out the stamp, so its age is
//! bounded without comparing the clocks of two hosts.
bool control_host::isOverdue(const wire::proposal &Proposal) const {
  if (!config_changes::isConfigChange(Proposal.command()))
    return false;
  const auto Age = Log->ageOf(
      {Proposal.leader_stamp().term(), Proposal.leader_stamp().sent_at()});
  return !Age || *Age > LongestForwarding;
}

void control_host::onProposal(const std::shared_ptr<peer_link> &Link,
                              const wire::proposal &Proposal) {
  if (isOverdue(Proposal)) {
    Logger.warn("Refused an operator's change that was long on its way ({}).",
                Proposal.command().operation_id());
    return;
  }
  const std::uint64_t RequestId = Proposal.request_id();
  proposeChange(Proposal.command(), [this, Link,
                                     RequestId](const apply_result &Result,
                                                std::uint64_t Index) {
    // The host has applied its command when it learns the result.
    const auto Session = Sessions.find(Link);
    if (Session != Sessions.end() && Session->second->Position.NextIndex > 0)
      sendLog(*Link, *Session->second);
    wire::envelope Answer;
    auto *Out = Answer.mutable_proposal_result();
    Out->set_request_id(RequestId);
    Out->set_accepted(Result.accepted());
    Out->set_error_kind(static_cast<std::uint32_t>(
        Result.Refusal.value_or(error_kind::Internal)));
    Out->set_version(Result.Version);
    Out->set_message(Result.Message);
    Out->set_index(Index);
    auto *Claim = Out->mutable_claim();
    Claim->set_verdict(
        static_cast<wire::claim_result::verdict_kind>(Result.Claim.Verdict));
    if (Result.Claim.Answer)
      writeMessage(*Result.Claim.Answer, *Claim->mutable_answer());
    Link->send(Answer);
  });
}

void control_host::sendLogToAll(mono_time Now) {
  if (!std::exchange(LogUrgent, false) && Now - LogSentAt < LogInterval)
    return;
  if (std::exchange(LogSentIndex, State.index()) != State.index())
    LogSentAt = Now;
  for (const auto &[Link, Session] : Sessions)
    if (Session->Position.NextIndex > 0)
      sendLog(*Link, *Session);
}

void control_host::sendLog(peer_link &Link, session &Session) {
  while (Session.Position.NextIndex <= State.index() &&
         Link.queuedBytes() < 4 * state_feed::BatchBytes) {
    const activity_meter::timer Timer(Activity, SendLog);
    auto Batch = Feed.next(Session.Position);
    if (!Batch)
      return;
    wire::envelope Message;
    *Message.mutable_log_batch() = std::move(*Batch);
    Link.send(Message);
  }
}

void control_host::tick() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    const mono_time Now = steady_clock::now();
    Stalls.tick(lease_clock::now());
    updateMembers();
    MostTickDelay = std::max(MostTickDelay, Now - Ticker.expiry());
    lead(Now);
    forwardReports();
    sendLogToAll(Now);
    logActivity(Now);
    tick();
  });
}

void control_host::lead(mono_time Now) {
  const bool Stalled = Now - LastTickAt > StallThreshold;
  LastTickAt = Now;
  if (Stalled)
    Leases.extendAfterStall(Now);
  if (!Log->leadershipConfirmed())
    return;
  sendTargetOrders(Now);
  updateOverloadedOwners(Now);
  advanceRollouts(Now);
  if (planDue(Now))
    planAndPropose(Now);
}

void control_host::updateOverloadedOwners(mono_time Now) {
  if (Now - OverloadedOwnersAt < OverloadInterval)
    return;
  OverloadedOwnersAt = Now;
  OverloadedOwners = findOverloadedOwners(State, Loads, Now);
}

void control_host::advanceRollouts(mono_time Now) {
  if (State.rollouts().empty() || Now - RolloutsAt < RolloutInterval)
    return;
  RolloutsAt = Now;
  for (wire::command &Command : Rollouts.step(State, Leases, Now, unixNowMs()))
    proposeChange(std::move(Command),
                  [](const apply_result &, std::uint64_t) {});
}

//! Plans are computed from the applied state, so a new one is made only after
//! the previous one has been applied.
bool control_host::planDue(mono_time Now) const {
  return PlannedInFlight == 0 &&
         (PlanInputsChanged || PlannedIndex != State.index() ||
          Now - PlannedAt >= PlanInterval);
}

void control_host::planAndPropose(mono_time Now) {
  const activity_meter::timer Timer(Activity, Plan);
  PlanInputsChanged = false;
  PlannedIndex = State.index();
  PlannedAt = Now;
  if (Caller)
    Orders.updateLeases(State, Leases, Now);
  Leases.removeExpired(State, Now);
  std::vector<wire::command> Commands = planMembership(State, Leases, Now);
  std::vector<wire::command> Moves = Planner.plan(State, Leases, Loads, Now);
  std::move(Moves.begin(), Moves.end(), std::back_inserter(Commands));
  PlannedInFlight = Commands.size();
  for (wire::command &Command : Commands)
    proposeChange(std::move(Command),
                  [this](const apply_result &, std::uint64_t) {
                    if (PlannedInFlight > 0)
                      --PlannedInFlight;
                  });
}

void control_host::logActivity(mono_time Now) {
  if (Now - ActivityLoggedAt < ActivityLogInterval)
    return;
  ActivityLoggedAt = Now;
  boost::json::object Fields = Activity.takeReport();
  Fields["tick_delay_ms"] =
      std::chrono::duration_cast<milliseconds>(
          std::exchange(MostTickDelay, mono_time::duration(0)))
          .count();
  Fields["links"] = Sessions.size();
  Fields["index"] = State.index();
  Logger.event(log_level::Info, "control_activity", Fields);
}

boost::asio::awaitable<text_response>
control_host::handleAdmin(const text_request &Request) {
  if (Request.target() != "/metrics")
    co_return co_await Admin->handle(Request);
  metric_set Metrics;
  Activity.exportTo(Metrics);
  Metrics.setGauge("pomelo_links", {}, static_cast<double>(Sessions.size()));
  Metrics.setGauge("pomelo_state_index", {},
                   static_cast<double>(State.index()));
  Metrics.setGauge("pomelo_control_takes_part", {}, Log->takesPart() ? 1 : 0);
  std::map<std::string, double> Roles{{"voter", 0}, {"learner", 0}};
  for (const control_member &Member : Log->members())
    ++Roles[Member.Voter ? "voter" : "learner"];
  for (const auto &[Role, Count] : Roles)
    Metrics.setGauge("pomelo_control_members", {{"role", Role}}, Count);
  exportRollouts(State.rollouts(), Metrics);
  text_response Response = makeJsonResponse(Metrics.text(), Request.version());
  Response.set(boost::beast::http::field::content_type,
               "text/plain; version=0.0.4");
  co_return Response;
}

std::string control_host::describe() const {
  const boost::json::object Description{
      {"role", "control"},
      {"host_id", Settings.HostId},
      {"failure_domain", Settings.FailureDomain},
      {"peer_address", toString(Listener->address())},
      {"admin_address", toString(AdminServer->address())}};
  return boost::json::serialize(Description);
}

std::unique_ptr<replicated_log> openRaftLog(boost::asio::io_context &Io,
                                            const control_settings &Settings) {
  raft_log::options Options;
  Options.HostId = Settings.HostId;
  Options.FailureDomain = Settings.FailureDomain;
  Options.Address = Settings.PeerAddress;
  Options.Secret = Settings.ClusterSecret;
  Options.Members = Settings.Members;
  Options.ToleratedLosses = Settings.ToleratedLosses;
  const auto Founders =
      Settings.MayFound ? Settings.Members : std::vector<host_address>();
  return std::make_unique<raft_log>(
      Io, std::move(Options),
      [Folder = Settings.DataFolder, HostId = Settings.HostId, Founders] {
        return std::make_unique<file_storage>(
            Folder, HostId, std::make_unique<file_io>(), Founders);
      });
}

} // namespace pomelo
