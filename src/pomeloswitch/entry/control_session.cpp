#include "pomeloswitch/entry/control_session.hpp"

#include "pomeloswitch/state/command_urgency.hpp"
#include "pomeloswitch/state/committed_command.hpp"
#include "pomeloswitch/state/configuration_difference.hpp"
#include "pomeloswitch/wire/packing.hpp"
#include "pomeloswitch/wire/report_id.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

//! A link on which nothing arrives after a heartbeat for this long is dialed
//! again.
constexpr milliseconds LinkTimeout{900};
constexpr std::size_t MaxUnacknowledged = 64;
constexpr milliseconds ProposalCheckInterval{20};
//! A host without a lease logs this often how it stands.
constexpr milliseconds NoLeaseLogInterval{1000};

} // namespace

struct control_session::control_host {
  std::string Id;
  std::string Address;
  bool FromSettings = false;
  link_silence Silence{LinkTimeout};
  std::unique_ptr<peer_dialer> Dialer;
};

control_session::control_session(boost::asio::io_context &Io,
                                 const entry_settings &Settings,
                                 std::uint64_t Incarnation, callbacks Callbacks)
    : Io(Io), Settings(Settings), Incarnation(Incarnation),
      Callbacks(std::move(Callbacks)), HeartbeatTimer(Io), ProposalTimer(Io) {
  for (const host_address &Host : Settings.ControlHosts)
    addHost(Host).FromSettings = true;
}

control_session::~control_session() = default;

control_session::control_host &
control_session::addHost(const host_address &Address) {
  auto Host = std::make_unique<control_host>();
  Host->Id = Address.Id;
  Host->Address = Address.Address;
  Host->Dialer = std::make_unique<peer_dialer>(
      Io, parseEndpoint(Address.Address), Settings.ClusterSecret,
      makeHandlers(*Host));
  return *Hosts.emplace_back(std::move(Host));
}

bool control_session::knowsAddress(const std::string &Address) const {
  return std::any_of(Hosts.begin(), Hosts.end(), [&Address](const auto &Host) {
    return Host->Address == Address;
  });
}

bool control_session::settingsName(const std::string &Id) const {
  return std::any_of(Hosts.begin(), Hosts.end(), [&Id](const auto &Host) {
    return Host->FromSettings && Host->Id == Id;
  });
}

void control_session::connectTo(const host_address &Control) {
  if (knowsAddress(Control.Address))
    return;
  Log.info("The settings name control host {} at {}.", Control.Id,
           Control.Address);
  control_host &Host = addHost(Control);
  Host.FromSettings = true;
  Host.Dialer->start();
}

//! Connects to members that joined the control group after this host's settings
//! were written. The settings may name a member by an address of their own, as
//! through a proxy; it is not connected to by another one as well.
void control_session::discoverMembers(const wire::heartbeat_ack &Ack) {
  for (const auto &Member : Ack.control_hosts()) {
    if (Member.address().empty() || settingsName(Member.id()) ||
        knowsAddress(Member.address()))
      continue;
    Log.info("Discovered control host {} at {}.", Member.id(),
             Member.address());
    addHost({Member.id(), Member.address()}).Dialer->start();
  }
}

//! Dials links again that stay silent: a lost connection may still look open.
void control_session::redialSilentHosts(steady_time Now) {
  for (const auto &Host : Hosts) {
    if (const auto &Link = Host->Dialer->link())
      Host->Silence.received(Link->receivedBytes());
    if (!Host->Silence.timedOut(Now))
      continue;
    Host->Silence.reset();
    if (Host->Dialer->open())
      Log.warn("Control host {} does not respond; reconnecting.", Host->Id);
    Host->Dialer->reset();
  }
}

peer_link::handlers control_session::makeHandlers(control_host &Host) {
  peer_link::handlers Handlers;
  Handlers.OnOpen = [this, &Host](const std::shared_ptr<peer_link> &Link) {
    wire::envelope Hello;
    Hello.mutable_hello()->set_role(wire::hello::ENTRY);
    Hello.mutable_hello()->set_id(Settings.HostId);
    Hello.mutable_hello()->set_incarnation(Incarnation);
    Hello.mutable_hello()->set_failure_domain(Settings.FailureDomain);
    Link->send(Hello);
    Log.info("Control host {} connected.", Host.Id);
    if (!LogSource)
      subscribe(Host);
    sendHeartbeatSoon();
  };
  Handlers.OnMessage = [this, &Host](const std::shared_ptr<peer_link> &,
                                     const wire::envelope &Message) {
    onMessage(Host, Message);
  };
  Handlers.OnClose = [this, &Host](const std::shared_ptr<peer_link> &) {
    if (Leader == &Host)
      Leader = nullptr;
    if (LogSource != &Host)
      return;
    LogSource = nullptr;
    for (const auto &Other : Hosts)
      if (Other->Dialer->open())
        return subscribe(*Other);
  };
  return Handlers;
}

void control_session::start() {
  for (const auto &Host : Hosts)
    Host->Dialer->start();
  sendHeartbeatSoon();
}

void control_session::stop() {
  HeartbeatTimer.cancel();
  ProposalTimer.cancel();
  for (const auto &Host : Hosts)
    Host->Dialer->stop();
}

void control_session::subscribe(control_host &Host) {
  LogSource = &Host;
  wire::envelope Message;
  Message.mutable_subscribe()->set_next_index(State.index() + 1);
  Message.mutable_subscribe()->set_accepts_differences(AcceptsDifferences);
  Host.Dialer->send(Message);
}

void control_session::onMessage(control_host &Host,
                                const wire::envelope &Message) {
  if (Message.has_log_batch())
    onLogBatch(Host, Message.log_batch());
  else if (Message.has_heartbeat_ack())
    onAck(Host, Message.heartbeat_ack());
  else if (Message.has_token_answer())
    onTokenAnswer(Message.token_answer());
  else if (Message.has_proposal_result())
    Proposals.complete(Message.proposal_result());
}

void control_session::applySnapshot(const wire::log_batch &Batch) {
  if (!Batch.has_snapshot() && Batch.packed_snapshot().empty())
    return;
  wire::state_snapshot Snapshot = Batch.snapshot();
  if (!Batch.packed_snapshot().empty() &&
      !unpackMessage(Batch.packed_snapshot(), Snapshot))
    throw pomelo_error(error_kind::Internal, "cannot read a packed snapshot");
  if (Snapshot.index() <= State.index())
    return;
  State = cluster_state::fromSnapshot(Snapshot);
  ConfirmationAwaited = true;
  Log.info("Installed a state snapshot at index {}.", State.index());
}

//! Makes the configuration in \p Command whole. After a failure configurations
//! are asked for whole.
bool control_session::restoreConfiguration(wire::command &Command) {
  if (!Command.has_replace_configuration())
    return true;
  try {
    *Command.mutable_replace_configuration() =
        restoreFrom(State, Command.replace_configuration());
    return true;
  } catch (const pomelo_error &Failure) {
    Log.warn("{}; asking for the whole configuration.", Failure.what());
    AcceptsDifferences = false;
    return false;
  }
}

//! Returns false if entries are missing or one can't be read; the log is then
//! asked for again.
bool control_session::applyEntries(control_host &Host,
                                   const wire::log_batch &Batch) {
  for (const auto &Entry : Batch.entries()) {
    if (Entry.index() <= State.index())
      continue;
    wire::command Command;
    const bool Next = Entry.index() == State.index() + 1;
    if (Next)
      Command = readCommitted(Entry.index(), Entry.command());
    if (!Next || !restoreConfiguration(Command)) {
      subscribe(Host);
      return false;
    }
    State.apply(Entry.index(), Command);
    ConfirmationAwaited |= awaitsEntryHosts(State, Command);
  }
  return true;
}

void control_session::onLogBatch(control_host &Host,
                                 const wire::log_batch &Batch) {
  if (&Host != LogSource)
    return;
  const std::uint64_t Before = State.index();
  applySnapshot(Batch);
  if (!applyEntries(Host, Batch) || State.index() == Before)
    return;
  if (!LeaseWasValid)
    Log.event(log_level::Info, "state_read",
              {{"from", Host.Id},
               {"index", State.index()},
               {"entries", Batch.entries_size()},
               {"bytes", Batch.ByteSizeLong()},
               {"config", State.configurationNumber()}});
  Schedule.setHostCount(State.entryHosts().size());
  Callbacks.OnState(State);
  takeLease();
  if (ConfirmationAwaited || lease_clock::now() >= LeaseUntil)
    sendHeartbeatSoon();
}

void control_session::onAck(control_host &Host,
                            const wire::heartbeat_ack &Ack) {
  discoverMembers(Ack);
  MembersHash = Ack.members_hash();
  if (Ack.lease_ms() == 0)
    return;
  const auto Sent = SentAt.find(Ack.sequence());
  if (Sent == SentAt.end())
    return;
  const lease_time Until = Sent->second + milliseconds(Ack.lease_ms());
  AnswerTook = std::chrono::duration_cast<milliseconds>(lease_clock::now() -
                                                        Sent->second);
  SentAt.erase(SentAt.begin(), std::next(Sent));
  Schedule.answered(Ack.sequence(), steady_clock::now());
  Tokens.answered(Ack.sequence());
  armHeartbeatTimer();
  Leader = &Host;
  if (LogSource != &Host)
    subscribe(Host);
  PendingLeases.add(Ack.commit_index(), Until, lease_clock::now());
  takeLease();
  if (PendingLeases.outdated(State.index(), lease_clock::now()))
    Callbacks.OnOutdated();
  if (Ack.has_quota())
    Callbacks.OnQuota(Ack, Until);
  Callbacks.OnAck(Ack);
  sendTokenRequest();
}

void control_session::onTokenAnswer(const wire::token_answer &Answer) {
  Tokens.answered(Answer.sequence());
  Callbacks.OnTokens(Answer);
  sendTokenRequest();
}

//! Without a known leader, heartbeats look for it and ask for tokens as well.
void control_session::requestTokens() {
  if (!Leader || !Schedule.leaderKnown(steady_clock::now()))
    return sendHeartbeatSoon();
  Tokens.want();
  sendTokenRequest();
}

void control_session::sendTokenRequest() {
  if (!Leader || !Tokens.due())
    return;
  wire::envelope Message;
  auto *Request = Message.mutable_token_request();
  Callbacks.AddTokenReport(*Request->mutable_quota());
  if (Request->quota().accounts().empty())
    return Tokens.clear();
  Request->set_sequence(NextSequence++);
  Request->set_host_id(Settings.HostId);
  Request->set_incarnation(Incarnation);
  if (Leader->Dialer->send(Message))
    Tokens.sent(Request->sequence());
}

void control_session::takeLease() {
  const auto Until = PendingLeases.take(State.index());
  if (!Until)
    return;
  LeaseUntil = *Until;
  Callbacks.OnLease(LeaseUntil);
}

void control_session::logLeaseChange(steady_time Now) {
  const bool Valid = lease_clock::now() < LeaseUntil;
  if (Valid != std::exchange(LeaseWasValid, Valid))
    return logLease(Valid ? log_level::Info : log_level::Warn,
                    Valid ? "lease_gained" : "lease_lost", Now);
  if (!Valid && Now - LeaseLoggedAt >= NoLeaseLogInterval)
    logLease(log_level::Info, "no_lease", Now);
}

void control_session::logLease(log_level Level, const char *Event,
                               steady_time Now) {
  LeaseLoggedAt = Now;
  const std::size_t Queued = Leader && Leader->Dialer->open()
                                 ? Leader->Dialer->link()->queuedBytes()
                                 : 0;
  Log.event(Level, Event,
            {{"index", State.index()},
             {"lease_index", PendingLeases.latestIndex()},
             {"acknowledged_ms_ago", std::chrono::duration_cast<milliseconds>(
                                         Now - Schedule.answeredAt())
                                         .count()},
             {"answer_took_ms", AnswerTook.count()},
             {"heartbeat_bytes", HeartbeatBytes},
             {"queued_bytes", Queued}});
}

std::uint64_t control_session::queueReport(const wire::target_report &Report) {
  Reports[reportId(Report.target())] =
      std::make_unique<wire::target_report>(Report);
  sendHeartbeatSoon();
  return NextSequence;
}

void control_session::propose(wire::command Command, milliseconds Timeout,
                              proposal_table::completion Done) {
  if (!Leader)
    return Done(nullptr);
  wire::envelope Message;
  auto *Proposal = Message.mutable_proposal();
  *Proposal->mutable_command() = std::move(Command);
  Proposal->set_request_id(
      Proposals.add(std::move(Done), steady_clock::now() + Timeout));
  Leader->Dialer->send(Message);
  scheduleProposalExpiry();
}

void control_session::scheduleProposalExpiry() {
  if (ProposalExpiryScheduled || Proposals.empty())
    return;
  ProposalExpiryScheduled = true;
  ProposalTimer.expires_after(ProposalCheckInterval);
  ProposalTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    ProposalExpiryScheduled = false;
    Proposals.expire(steady_clock::now());
    scheduleProposalExpiry();
  });
}

void control_session::sendHeartbeatSoon() {
  Schedule.want(steady_clock::now());
  armHeartbeatTimer();
}

void control_session::armHeartbeatTimer() {
  if (TimerArmedFor != steady_time() && TimerArmedFor <= Schedule.due())
    return;
  TimerArmedFor = Schedule.due();
  HeartbeatTimer.expires_at(TimerArmedFor);
  HeartbeatTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    TimerArmedFor = steady_time();
    sendHeartbeat();
    armHeartbeatTimer();
  });
}

void control_session::sendHeartbeat() {
  wire::envelope Message;
  auto *Heartbeat = Message.mutable_heartbeat();
  Heartbeat->set_sequence(NextSequence++);
  Heartbeat->set_host_id(Settings.HostId);
  Heartbeat->set_incarnation(Incarnation);
  Heartbeat->set_failure_domain(Settings.FailureDomain);
  // Read the quiesced index before the adopted state: it is valid only up to
  // the adopted index.
  Heartbeat->set_quiesced_index(Callbacks.QuiescedIndex());
  const adopted_state OldestAdopted = Callbacks.OldestAdopted();
  Heartbeat->set_applied_index(OldestAdopted.Index);
  Heartbeat->set_config_version(OldestAdopted.ConfigVersion);
  Heartbeat->set_stopping(Stopping);
  Heartbeat->set_members_hash(MembersHash);
  for (auto &[Id, Report] : Reports)
    *Heartbeat->add_targets() = *Report;
  Callbacks.AddQuota(*Heartbeat);
  Callbacks.AddLoads(*Heartbeat);
  HeartbeatBytes = Message.ByteSizeLong();
  const steady_time Now = steady_clock::now();
  Schedule.sent(Heartbeat->sequence(), Now);
  Tokens.sent(Heartbeat->sequence());
  ConfirmationAwaited = false;
  SentAt[Heartbeat->sequence()] = lease_clock::now();
  if (SentAt.size() > MaxUnacknowledged)
    SentAt.erase(SentAt.begin());
  logLeaseChange(Now);
  const bool LeaderKnown = Leader && Schedule.leaderKnown(Now);
  for (const auto &Host : Hosts)
    if ((!LeaderKnown || Host.get() == Leader) && Host->Dialer->send(Message))
      Host->Silence.heartbeatSent(Now);
  redialSilentHosts(Now);
  if (LeaderKnown)
    Reports.clear();
}

} // namespace pomelo
