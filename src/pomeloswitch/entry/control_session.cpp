#include "pomeloswitch/entry/control_session.hpp"

#include "pomeloswitch/wire/report_id.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <algorithm>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds BeatInterval{200};
constexpr milliseconds HurriedBeat{5};
//! Without an acknowledgement for this long, every control host is asked.
constexpr milliseconds LeaderSilence{400};
//! A link on which heartbeats get no answer for so long is dialed again.
constexpr milliseconds MaxLinkSilence{900};
constexpr std::size_t MaxUnacknowledged = 64;
constexpr milliseconds ProposalCheckInterval{20};

} // namespace

struct control_session::control_host {
  std::string Id;
  std::string Address;
  //! When a heartbeat was first sent that nothing has followed yet.
  steady_time SilentSince{};
  std::unique_ptr<peer_dialer> Dialer;
};

control_session::control_session(boost::asio::io_context &Io,
                                 const entry_settings &Settings,
                                 std::uint64_t Incarnation, callbacks Callbacks)
    : Io(Io), Settings(Settings), Incarnation(Incarnation),
      Callbacks(std::move(Callbacks)), BeatTimer(Io), ProposalTimer(Io) {
  for (const host_address &Host : Settings.ControlHosts)
    addHost(Host.Id, Host.Address);
}

control_session::~control_session() = default;

void control_session::addHost(const std::string &Id,
                              const std::string &Address) {
  auto Host = std::make_unique<control_host>();
  Host->Id = Id;
  Host->Address = Address;
  Host->Dialer = std::make_unique<peer_dialer>(
      Io, parseEndpoint(Address), Settings.ClusterSecret, handlersOf(*Host));
  Hosts.push_back(std::move(Host));
}

void control_session::meet(const host_address &Control) {
  const bool Known =
      std::any_of(Hosts.begin(), Hosts.end(), [&Control](const auto &Host) {
        return Host->Address == Control.Address;
      });
  if (Known || Control.Address.empty())
    return;
  Log.info("Control host {} at {} is met.", Control.Id, Control.Address);
  addHost(Control.Id, Control.Address);
  Hosts.back()->Dialer->start();
}

//! Members that joined the group since the settings were written.
void control_session::meetMembers(const wire::heartbeat_ack &Ack) {
  for (const auto &Member : Ack.control_hosts())
    meet({Member.id(), Member.address()});
}

//! An open link that carries nothing back may have been lost on the way.
void control_session::resetSilent(steady_time Now) {
  for (const auto &Host : Hosts) {
    const bool Silent = Host->SilentSince != steady_time() &&
                        Now - Host->SilentSince > MaxLinkSilence;
    if (!Silent)
      continue;
    Host->SilentSince = steady_time();
    if (Host->Dialer->open())
      Log.warn("Control host {} is silent; the link is dialed again.",
               Host->Id);
    Host->Dialer->reset();
  }
}

peer_link::handlers control_session::handlersOf(control_host &Host) {
  peer_link::handlers Handlers;
  Handlers.OnOpen = [this, &Host](const std::shared_ptr<peer_link> &Link) {
    wire::envelope Hello;
    Hello.mutable_hello()->set_role(wire::hello::ENTRY);
    Hello.mutable_hello()->set_id(Settings.HostId);
    Hello.mutable_hello()->set_incarnation(Incarnation);
    Hello.mutable_hello()->set_failure_domain(Settings.FailureDomain);
    Link->send(Hello);
    Log.info("Control host {} connected.", Host.Id);
    if (!Source)
      subscribe(Host);
    hurry();
  };
  Handlers.OnMessage = [this, &Host](const std::shared_ptr<peer_link> &,
                                     const wire::envelope &Message) {
    onMessage(Host, Message);
  };
  Handlers.OnClose = [this, &Host](const std::shared_ptr<peer_link> &) {
    if (Leader == &Host)
      Leader = nullptr;
    if (Source != &Host)
      return;
    Source = nullptr;
    for (const auto &Other : Hosts)
      if (Other->Dialer->open())
        return subscribe(*Other);
  };
  return Handlers;
}

void control_session::start() {
  for (const auto &Host : Hosts)
    Host->Dialer->start();
  scheduleBeat(BeatInterval);
}

void control_session::stop() {
  BeatTimer.cancel();
  ProposalTimer.cancel();
  for (const auto &Host : Hosts)
    Host->Dialer->stop();
}

void control_session::subscribe(control_host &Host) {
  Source = &Host;
  wire::envelope Message;
  Message.mutable_subscribe()->set_next_index(State.index() + 1);
  Host.Dialer->send(Message);
}

void control_session::onMessage(control_host &Host,
                                const wire::envelope &Message) {
  Host.SilentSince = steady_time();
  if (Message.has_log_batch())
    onLogBatch(Host, Message.log_batch());
  else if (Message.has_heartbeat_ack())
    onAck(Host, Message.heartbeat_ack());
  else if (Message.has_proposal_result())
    Proposals.complete(Message.proposal_result());
}

void control_session::applySnapshot(const wire::log_batch &Batch) {
  if (!Batch.has_snapshot() || Batch.snapshot().index() <= State.index())
    return;
  State = cluster_state::fromSnapshot(Batch.snapshot());
  Log.info("State taken over at index {}.", State.index());
}

void control_session::onLogBatch(control_host &Host,
                                 const wire::log_batch &Batch) {
  if (&Host != Source)
    return;
  const std::uint64_t Before = State.index();
  applySnapshot(Batch);
  for (const auto &Entry : Batch.entries()) {
    if (Entry.index() <= State.index())
      continue;
    if (Entry.index() != State.index() + 1)
      return subscribe(Host);
    wire::command Command;
    if (!Command.ParseFromString(Entry.command()))
      throw pomelo_error(error_kind::Internal,
                         "a committed command does not parse");
    State.apply(Entry.index(), Command);
  }
  if (State.index() == Before)
    return;
  Callbacks.OnState(State);
  grantAuthority();
  hurry();
}

void control_session::onAck(control_host &Host,
                            const wire::heartbeat_ack &Ack) {
  meetMembers(Ack);
  if (Ack.lease_ms() == 0)
    return;
  const auto Sent = SentAt.find(Ack.sequence());
  if (Sent == SentAt.end())
    return;
  const lease_time Until = Sent->second + milliseconds(Ack.lease_ms());
  SentAt.erase(SentAt.begin(), std::next(Sent));
  LastAck = steady_clock::now();
  Leader = &Host;
  if (Source != &Host)
    subscribe(Host);
  if (Until > LeaseUntil) {
    LeaseUntil = Until;
    LeaseIndex = std::max<std::uint64_t>(LeaseIndex, Ack.commit_index());
  }
  grantAuthority();
  if (Ack.has_quota())
    Callbacks.OnQuota(Ack, Until);
  Callbacks.OnAck(Ack);
}

//! The lease counts only for a host whose state has all that was committed
//! when the leader granted it.
void control_session::grantAuthority() {
  if (State.index() >= LeaseIndex)
    Callbacks.OnLease(LeaseUntil);
}

std::uint64_t control_session::report(const wire::target_report &Report) {
  Reports[reportId(Report.target())] =
      std::make_unique<wire::target_report>(Report);
  hurry();
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
  watchProposals();
}

void control_session::watchProposals() {
  if (ProposalsWatched || Proposals.empty())
    return;
  ProposalsWatched = true;
  ProposalTimer.expires_after(ProposalCheckInterval);
  ProposalTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    ProposalsWatched = false;
    Proposals.expire(steady_clock::now());
    watchProposals();
  });
}

void control_session::hurry() { scheduleBeat(HurriedBeat); }

void control_session::scheduleBeat(milliseconds Delay) {
  const steady_time Due = steady_clock::now() + Delay;
  if (BeatDue != steady_time() && BeatDue <= Due)
    return;
  BeatDue = Due;
  BeatTimer.expires_at(Due);
  BeatTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    BeatDue = steady_time();
    beat();
    scheduleBeat(BeatInterval);
  });
}

void control_session::beat() {
  wire::envelope Message;
  auto *Beat = Message.mutable_heartbeat();
  Beat->set_sequence(NextSequence++);
  Beat->set_host_id(Settings.HostId);
  Beat->set_incarnation(Incarnation);
  Beat->set_failure_domain(Settings.FailureDomain);
  // A quiesced index counts only up to the state adopted, so it is read first.
  Beat->set_quiesced_index(Callbacks.QuiescedIndex());
  const adopted_state Adopted = Callbacks.Adopted();
  Beat->set_applied_index(Adopted.Index);
  Beat->set_config_version(Adopted.ConfigVersion);
  Beat->set_stopping(Stopping);
  for (auto &[Id, Report] : Reports)
    *Beat->add_targets() = *Report;
  Callbacks.AddQuota(*Beat);
  Callbacks.AddLoads(*Beat);
  const steady_time Now = steady_clock::now();
  SentAt[Beat->sequence()] = lease_clock::now();
  if (SentAt.size() > MaxUnacknowledged)
    SentAt.erase(SentAt.begin());
  const bool LeaderKnown = Leader && Now - LastAck < LeaderSilence;
  for (const auto &Host : Hosts)
    if ((!LeaderKnown || Host.get() == Leader) && Host->Dialer->send(Message) &&
        Host->SilentSince == steady_time())
      Host->SilentSince = Now;
  resetSilent(Now);
  if (LeaderKnown)
    Reports.clear();
}

} // namespace pomelo
