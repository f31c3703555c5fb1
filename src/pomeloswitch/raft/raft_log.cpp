#include "pomeloswitch/raft/raft_log.hpp"

#include "pomeloswitch/raft/file_io.hpp"

#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{10};
constexpr milliseconds BootstrapInterval{100};
// Between attempts to open a storage that failed.
constexpr milliseconds FirstPause{100};
constexpr milliseconds LongestPause{2000};

} // namespace

raft_log::raft_log(boost::asio::io_context &Io, options GivenOptions,
                   storage_opener OpenStorage)
    : Io(Io), Options(std::move(GivenOptions)), Random(std::random_device()()),
      Core(coreOptions(), {}, lease_clock::now()),
      Bootstrap(Options.HostId, Options.Founders, Options.ToleratedLosses),
      Network(Io, Options.HostId, Options.Secret,
              [this](const wire::raft_message &Message) { receive(Message); }),
      Worker(Io, std::move(OpenStorage),
             [this](const storage_batch &Batch,
                    const std::optional<std::string> &Failure) {
               onSynced(Batch, Failure);
             }),
      Ticker(Io), Reopening(Io), ReopenPause(FirstPause, LongestPause) {
  try {
    restore(Worker.open());
  } catch (const storage_refused &Refusal) {
    suspend(Refusal.what());
  }
}

raft_core::options raft_log::coreOptions() {
  raft_core::options CoreOptions;
  CoreOptions.HostId = Options.HostId;
  CoreOptions.FailureDomain = Options.FailureDomain;
  CoreOptions.Address = Options.Address;
  CoreOptions.KnownHosts = Options.Members;
  CoreOptions.KnownHosts.insert(CoreOptions.KnownHosts.end(),
                                Options.Founders.begin(),
                                Options.Founders.end());
  // The right is given to every host of the first start, but only the hosts
  // named then found the group.
  CoreOptions.MayFound =
      std::any_of(Options.Founders.begin(), Options.Founders.end(),
                  [&](const host_address &Founder) {
                    return Founder.Id == Options.HostId;
                  });
  CoreOptions.FirstStart = !Options.Founders.empty();
  CoreOptions.RunId = Random();
  CoreOptions.Times = Options.Times;
  CoreOptions.Random = [this] { return Random(); };
  return CoreOptions;
}

void raft_log::start(applier NewApplier) {
  Applier = std::move(NewApplier);
  Log.info("Replica {} starts with last log index {} and term {}.",
           Core.identity().replica_id(), Core.log().lastIndex(), Core.term());
  takePart();
  tick();
}

void raft_log::takePart() {
  for (const auto &Known : {Options.Founders, Options.Members})
    for (const host_address &Member : Known)
      Network.connect(Member.Id, Member.Address);
  connectHosts();
  applyCommitted();
}

void raft_log::stop() {
  Stopped = true;
  Ticker.cancel();
  Reopening.cancel();
  Network.stop();
}

void raft_log::propose(std::string Command, completion Done) {
  if (!takesPart())
    return Done({error_kind::StorageFailed, 0});
  const auto Index = Leading ? Core.propose(std::move(Command)) : std::nullopt;
  if (!Index)
    return Done({error_kind::NotLeader, 0});
  Proposals[*Index] = {Core.term(), std::move(Done)};
  scheduleAdvance();
}

void raft_log::deliver(const std::shared_ptr<peer_link> &Link,
                       const wire::raft_message &Message) {
  if (takesPart())
    Network.receive(Link, Message);
}

void raft_log::receive(const wire::raft_message &Message) {
  if (!takesPart())
    return;
  if (Message.has_found_request())
    return onFoundRequest(Message);
  if (Message.has_found_answer())
    return Bootstrap.recordAnswer(Message);
  try {
    Core.receive(Message, lease_clock::now());
  } catch (const pomelo_error &Failure) {
    return fail(Failure.what());
  }
  if (Core.rolledBack())
    return fail("the data folder is older than the state that other control "
                "hosts have seen from this replica; empty the folder to rejoin "
                "as a new replica");
  scheduleAdvance();
}

void raft_log::onFoundRequest(const wire::raft_message &Message) {
  wire::raft_message Answer;
  Answer.set_from_host(Options.HostId);
  Answer.set_from_replica(Core.identity().replica_id());
  Answer.set_to_host(Message.from_host());
  Answer.mutable_found_answer()->set_blank(Core.blank() &&
                                           !Options.Founders.empty());
  Answer.mutable_found_answer()->set_failure_domain(Options.FailureDomain);
  Network.send(Answer, lease_clock::now());
}

void raft_log::bootstrapGroup(raft_time Now) {
  if (!Core.blank() || !Bootstrap.initiatesBootstrap() || Now < BootstrapDue)
    return;
  BootstrapDue = Now + BootstrapInterval;
  if (const auto Config = Bootstrap.config(Core.identity().replica_id(),
                                           Options.FailureDomain)) {
    Log.info("Bootstrapped the control group with {} members.",
             Config->members_size());
    return Core.bootstrap(*Config, Now);
  }
  for (const std::string &HostId : Bootstrap.otherMembers()) {
    wire::raft_message Request;
    Request.set_from_host(Options.HostId);
    Request.set_from_replica(Core.identity().replica_id());
    Request.set_to_host(HostId);
    Request.mutable_found_request();
    Network.send(Request, Now);
  }
}

void raft_log::tick() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](boost::system::error_code Error) {
    if (Error || Stopped || Failed)
      return;
    const raft_time Now = lease_clock::now();
    Network.tick(Now);
    if (!Suspended) {
      bootstrapGroup(Now);
      Core.tick(Now);
      advance();
    }
    tick();
  });
}

//! Defers advance() so that all events handled before it runs share one call,
//! and therefore one message to each follower and one sync.
void raft_log::scheduleAdvance() {
  if (std::exchange(AdvanceScheduled, true))
    return;
  boost::asio::post(Io, [this, Owner = std::weak_ptr<void>(Alive)] {
    if (Owner.expired())
      return;
    AdvanceScheduled = false;
    advance();
  });
}

void raft_log::advance() {
  if (!takesPart())
    return;
  const raft_time Now = lease_clock::now();
  sendAll(Core.takeMessages(Now), Now);
  writeNext(Now);
  applyCommitted();
  connectHosts();
  logMembership();
  logJoinRefusal();
  updateLeadership();
  takeSnapshotIfDue();
}

void raft_log::sendAll(const std::vector<wire::raft_message> &Messages,
                       raft_time Now) {
  for (const wire::raft_message &Message : Messages)
    Network.send(Message, Now);
}

void raft_log::writeNext(raft_time Now) {
  if (Worker.busy())
    return;
  storage_batch Batch = Core.takeBatch();
  if (Batch.empty())
    return sendAll(Batch.SendAfter, Now);
  Worker.write(std::move(Batch));
}

void raft_log::onSynced(const storage_batch &Batch,
                        const std::optional<std::string> &Failure) {
  if (!takesPart())
    return;
  if (Failure)
    return suspend(*Failure);
  ReopenPause.reset();
  const raft_time Now = lease_clock::now();
  Core.synced(Batch, Now);
  sendAll(Batch.SendAfter, Now);
  advance();
}

void raft_log::applyCommitted() {
  // After the storage was opened anew, the core returns again what was applied
  // before.
  if (const auto Snapshot = Core.takeSnapshotToInstall()) {
    SnapshotIndex = Snapshot->index();
    if (SnapshotIndex > Applied)
      installSnapshot(*Snapshot);
  }
  for (const wire::raft_entry &Entry : Core.takeCommitted())
    if (Entry.index() > Applied)
      applyEntry(Entry);
}

void raft_log::installSnapshot(const wire::raft_snapshot &Snapshot) {
  Applied = Snapshot.index();
  if (!Snapshot.state().empty())
    Applier.OnSnapshot(Applied, Snapshot.state());
}

void raft_log::applyEntry(const wire::raft_entry &Entry) {
  Applied = Entry.index();
  BytesSinceSnapshot += Entry.command().size();
  Applier.OnCommitted({Entry.index(), Entry.command()});
  const auto Found = Proposals.find(Entry.index());
  if (Found == Proposals.end())
    return;
  const pending_proposal Proposal = std::move(Found->second);
  Proposals.erase(Found);
  if (Proposal.Term == Entry.term())
    Proposal.Done({std::nullopt, Entry.index()});
  else
    Proposal.Done({error_kind::NoQuorum, 0});
}

void raft_log::updateLeadership() {
  const bool IsLeader =
      Core.role() == raft_role::Leader && Applied >= Core.termStart();
  if (Leading && (!IsLeader || LeaderTerm != Core.term())) {
    Leading = false;
    failProposals(error_kind::NoQuorum);
    Applier.OnLeadership(false);
  }
  if (IsLeader && !Leading) {
    Leading = true;
    LeaderTerm = Core.term();
    Applier.OnLeadership(true);
  }
}

void raft_log::connectHosts() {
  if (ConnectedConfig == Core.log().configIndex() &&
      ConnectedHosts == Core.knownHosts().size())
    return;
  ConnectedConfig = Core.log().configIndex();
  ConnectedHosts = Core.knownHosts().size();
  for (const wire::raft_member &Member : Core.log().config().members())
    if (const std::string Address = addressOf(Member); !Address.empty())
      Network.connect(Member.host_id(), Address);
  for (const auto &[HostId, Address] : Core.knownHosts())
    if (!settingsAddress(HostId))
      Network.connect(HostId, Address);
}

void raft_log::logMembership() {
  if (LoggedConfig == Core.log().configIndex())
    return;
  LoggedConfig = Core.log().configIndex();
  std::map<std::string, std::string> Roles;
  for (const wire::raft_member &Member : Core.log().config().members()) {
    std::string &Role = Roles[Member.host_id()];
    Role = Member.voter() ? "voter" : "learner";
    if (LoggedMembers[Member.host_id()] == Role)
      continue;
    Log.event(log_level::Info, "control_member",
              {{"host", Member.host_id()},
               {"replica", Member.replica_id()},
               {"role", Role},
               {"replaces", Member.replaces()},
               {"index", LoggedConfig}});
  }
  for (const auto &[HostId, Role] : LoggedMembers)
    if (!Role.empty() && !Roles.contains(HostId))
      Log.event(
          log_level::Info, "control_member",
          {{"host", HostId}, {"role", "removed"}, {"index", LoggedConfig}});
  LoggedMembers = std::move(Roles);
}

void raft_log::logJoinRefusal() {
  if (LoggedRefusal == Core.joinRefusal())
    return;
  LoggedRefusal = Core.joinRefusal();
  if (!LoggedRefusal.empty())
    Log.event(log_level::Warn, "join_refused", {{"reason", LoggedRefusal}});
}

void raft_log::takeSnapshotIfDue() {
  const bool MemoryFull = Core.log().bytes() >= Options.MemoryBytes;
  const bool ReplayLong = Applied - SnapshotIndex >= Options.ReplayEntries ||
                          BytesSinceSnapshot >= Options.ReplayBytes;
  if ((!MemoryFull && !ReplayLong) || Applied < SnapshotIndex + 2)
    return;
  // The applied state may be ahead of a log that was loaded anew.
  if (Core.commitIndex() < Applied)
    return;
  SnapshotIndex = Applied;
  BytesSinceSnapshot = 0;
  const std::uint64_t Retained = MemoryFull ? 0 : Options.RetainedEntries;
  Core.compact(Applied, Applier.TakeSnapshot(),
               Applied > Retained ? Applied - Retained : 0);
  scheduleAdvance();
}

void raft_log::fail(const std::string &Reason) {
  Log.error("This host no longer takes part in the replicated log: {}.",
            Reason);
  Failed = true;
  Network.stop();
  stopLeading();
}

void raft_log::stopLeading() {
  const bool WasLeader = std::exchange(Leading, false);
  failProposals(error_kind::StorageFailed);
  if (WasLeader)
    Applier.OnLeadership(false);
}

void raft_log::failProposals(error_kind Kind) {
  for (auto &[Index, Proposal] : std::exchange(Proposals, {}))
    Proposal.Done({Kind, 0});
}

bool raft_log::leadershipConfirmed() const {
  return Leading && takesPart() && LeaderTerm == Core.term() &&
         Core.leadershipConfirmed(lease_clock::now());
}

std::string raft_log::leaderId() const {
  return takesPart() ? Core.leaderId() : std::string();
}

bool raft_log::leaderReachable() const {
  return takesPart() && Core.followsLeader(lease_clock::now()) &&
         Network.connectedTo(Core.leaderId());
}

bool raft_log::sendToLeader(const wire::envelope &Message) {
  return leaderReachable() && Network.sendTo(Core.leaderId(), Message);
}

leader_stamp raft_log::latestStamp() const { return Core.latestStamp(); }

std::optional<std::chrono::nanoseconds>
raft_log::ageOf(const leader_stamp &Stamp) const {
  return leadershipConfirmed() ? Core.ageOf(Stamp, lease_clock::now())
                               : std::nullopt;
}

std::uint64_t raft_log::commitIndex() const {
  return std::max(Core.commitIndex(), Applied);
}

std::optional<std::vector<committed_entry>>
raft_log::entriesFrom(std::uint64_t First, std::size_t MaxBytes) const {
  const std::uint64_t Last = std::min(Applied, Core.commitIndex());
  if (First < Core.log().firstIndex() || (First > Last && First <= Applied))
    return std::nullopt;
  std::vector<committed_entry> Result;
  std::size_t Bytes = 0;
  for (std::uint64_t Index = First; Index <= Last && Bytes < MaxBytes;
       ++Index) {
    Result.push_back({Index, Core.log().at(Index).command()});
    Bytes += Result.back().Command.size();
  }
  return Result;
}

std::optional<std::string>
raft_log::settingsAddress(const std::string &HostId) const {
  for (const auto *Known : {&Options.Members, &Options.Founders})
    for (const host_address &Host : *Known)
      if (Host.Id == HostId)
        return Host.Address;
  return std::nullopt;
}

std::string raft_log::addressOf(const wire::raft_member &Member) const {
  return settingsAddress(Member.host_id()).value_or(Member.address());
}

std::vector<control_member> raft_log::members() const {
  std::vector<control_member> Members;
  for (const wire::raft_member &Member : Core.log().config().members())
    Members.push_back({Member.host_id(), addressOf(Member), Member.voter(),
                       Member.replaces(), Core.matchIndexOf(Member.host_id())});
  return Members;
}

void raft_log::requireLeadership() const {
  if (!leadershipConfirmed())
    throw pomelo_error(error_kind::NotLeader, "this host is not the leader");
}

//! The group changes itself as well, e.g. when a host joins.
void raft_log::requireNoOtherChange() const {
  if (const auto Refusal = Core.changeRefusal())
    throw pomelo_error(error_kind::NoQuorum,
                       *Refusal + "; send this one again");
}

std::uint64_t raft_log::addMember(const host_address &Host,
                                  const std::string &Replaces) {
  requireLeadership();
  // A repeated request succeeds if the first one already added the member.
  for (const wire::raft_member &Known : Core.log().config().members())
    if (Known.host_id() == Host.Id && Known.address() == Host.Address &&
        (Known.voter() || Known.replaces() == Replaces))
      return Core.log().configIndex();
  requireNoOtherChange();
  wire::raft_member Member;
  Member.set_host_id(Host.Id);
  Member.set_address(Host.Address);
  Member.set_replaces(Replaces);
  if (const auto Refusal = Core.addLearner(Member))
    throw pomelo_error(error_kind::InvalidChange, *Refusal);
  scheduleAdvance();
  return Core.log().configIndex();
}

std::uint64_t raft_log::removeMember(const std::string &HostId) {
  requireLeadership();
  requireNoOtherChange();
  if (const auto Refusal = Core.removeMember(HostId))
    throw pomelo_error(error_kind::InvalidChange, *Refusal);
  scheduleAdvance();
  return Core.log().configIndex();
}

} // namespace pomelo
