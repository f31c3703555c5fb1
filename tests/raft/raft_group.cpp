#include "raft/raft_group.hpp"

#include "pomeloswitch/raft/group_bootstrap.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds StepTime{10};
constexpr std::uint64_t EntriesPerSnapshot = 40;

std::vector<host_address> foundersOf(unsigned HostCount) {
  std::vector<host_address> Founders;
  for (unsigned Number = 1; Number <= HostCount; ++Number) {
    const std::string Id = fmt::format("c{}", Number);
    Founders.push_back({Id, Id});
  }
  return Founders;
}

} // namespace

raft_group::raft_group(unsigned HostCount, std::uint64_t Seed,
                       unsigned Outsiders, unsigned ToleratedLosses)
    : Random(Seed), Founders(HostCount) {
  group_bootstrap Bootstrap("c1", foundersOf(HostCount), ToleratedLosses);
  for (unsigned Number = 1; Number <= HostCount; ++Number) {
    const std::string Id = fmt::format("c{}", Number);
    Hosts[Id].Seeds = foundersOf(HostCount);
    addHost(Id);
    wire::raft_message Answer;
    Answer.set_from_host(Id);
    Answer.set_from_replica(Hosts[Id].Disk.Identity.replica_id());
    Answer.mutable_found_answer()->set_blank(true);
    Answer.mutable_found_answer()->set_failure_domain(Hosts[Id].FailureDomain);
    Bootstrap.recordAnswer(Answer);
  }
  const auto Config = Bootstrap.config(Hosts["c1"].Disk.Identity.replica_id(),
                                       Hosts["c1"].FailureDomain);
  Hosts["c1"].Core->bootstrap(Config.value(), Now);
  for (unsigned Number = 1; Number <= Outsiders; ++Number)
    addHost(fmt::format("c{}", HostCount + Number));
}

std::vector<std::string> raft_group::hostIds() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Host] : Hosts)
    Ids.push_back(Id);
  return Ids;
}

void raft_group::addHost(const std::string &Id) {
  Hosts[Id].Id = Id;
  Hosts[Id].FailureDomain = "domain of " + Id;
  resetDisk(Hosts[Id]);
  start(Id);
}

void raft_group::addJoiningHost(const std::string &Id,
                                const std::string &FailureDomain,
                                const std::vector<std::string> &Seeds,
                                bool FirstStart) {
  fake_host &Host = Hosts[Id];
  Host.Id = Id;
  Host.FailureDomain = FailureDomain;
  Host.MayFound = false;
  Host.FirstStart = FirstStart;
  for (const std::string &Seed : Seeds)
    Host.Seeds.push_back({Seed, Seed});
  resetDisk(Host);
  start(Id);
}

void raft_group::removeHost(const std::string &Id) {
  crash(Id, false);
  Hosts.at(Id).InactiveUntil = raft_time::max();
}

void raft_group::resetDisk(fake_host &Host) {
  Host.Disk = stored_state();
  Host.Disk.Identity.set_replica_id(fmt::format("r{}", NextReplica++));
}

void raft_group::start(const std::string &Id) {
  fake_host &Host = Hosts[Id];
  Host.Disk.Identity.set_starts(Host.Disk.Identity.starts() + 1);
  Host.Applied.clear();
  Host.AppliedIndex = Host.SnapshotIndex = 0;
  raft_core::options Options;
  Options.HostId = Id;
  Options.FailureDomain = Host.FailureDomain;
  Options.Address = Id;
  Options.KnownHosts = Host.Seeds;
  Options.MayFound = Host.MayFound;
  Options.FirstStart = Host.FirstStart;
  Options.RunId = Random();
  Options.Random = [this] { return Random(); };
  Options.Limits.MaxMessageBytes = 200;
  Host.Core = std::make_unique<raft_core>(Options, Host.Disk, Now);
}

void raft_group::crash(const std::string &Id, bool PersistPendingWrite) {
  fake_host &Host = Hosts[Id];
  if (Host.PendingWrite && PersistPendingWrite)
    persist(Host.Disk, *Host.PendingWrite);
  Host.PendingWrite.reset();
  Host.Core.reset();
}

void raft_group::loseDisk(const std::string &Id) {
  crash(Id, false);
  resetDisk(Hosts[Id]);
  Hosts[Id].MayFound = false;
  Hosts[Id].FirstStart = false;
}

raft_time raft_group::endDay(const std::set<std::string> &DiskLost,
                             bool PowerLost, milliseconds MaxDownTime) {
  raft_time LastReturn = Now;
  const auto MaxDownSteps = static_cast<std::uint64_t>(MaxDownTime / StepTime);
  for (auto &[Id, Host] : Hosts) {
    if (DiskLost.contains(Id))
      loseDisk(Id);
    else if (PowerLost)
      crash(Id, chance(50));
    else
      continue;
    Host.InactiveUntil =
        Now + StepTime * static_cast<int>(1 + Random() % MaxDownSteps);
    LastReturn = std::max(LastReturn, Host.InactiveUntil);
  }
  return LastReturn;
}

void raft_group::cut(const std::string &From, const std::string &To) {
  Cuts.emplace(From, To);
}

void raft_group::heal() { Cuts.clear(); }

bool raft_group::chance(double Percent) {
  return std::uniform_real_distribution<>(0, 100)(Random) < Percent;
}

void raft_group::runSteps(int Count, const fault_plan &Plan) {
  for (int Step = 0; Step < Count; ++Step)
    step(Plan);
}

void raft_group::step(const fault_plan &Plan) {
  Now += StepTime;
  injectFaults(Plan);
  deliver(Plan);
  for (auto &[Id, Host] : Hosts)
    if (Host.Core && Host.InactiveUntil <= Now)
      run(Host, Plan);
  checkLeaders();
}

void raft_group::injectFaults(const fault_plan &Plan) {
  for (auto &[Id, Host] : Hosts) {
    const auto Outage = std::chrono::duration_cast<raft_time::duration>(
        StepTime * static_cast<int>(Random() % 200));
    if (!Host.Core && Host.InactiveUntil <= Now)
      start(Id);
    else if (Host.Core && chance(Plan.Pause))
      Host.InactiveUntil = Now + Outage;
    else if (Host.Core && chance(Plan.DiskLoss) && allHostsAreVoters()) {
      loseDisk(Id);
      Host.InactiveUntil = Now + Outage;
    } else if (Host.Core && chance(Plan.Crash)) {
      crash(Id, chance(50));
      Host.InactiveUntil = Now + Outage;
    }
    for (const auto &[Other, Unused] : Hosts)
      if (chance(Plan.Cut))
        cut(Id, Other);
  }
  if (!Cuts.empty() && Plan.Cut > 0 && chance(2))
    heal();
}

void raft_group::deliver(const fault_plan &Plan) {
  std::vector<wire::raft_message> Deliverable = std::exchange(Messages, {});
  if (Plan.Reordering) {
    std::shuffle(Deliverable.begin(), Deliverable.end(), Random);
    // Half of the messages are delayed to the next step or later.
    const auto Delayed = Deliverable.begin() +
                         static_cast<std::ptrdiff_t>(Deliverable.size() / 2);
    Messages.assign(Delayed, Deliverable.end());
    Deliverable.erase(Delayed, Deliverable.end());
  }
  for (const wire::raft_message &Message : Deliverable) {
    if (chance(Plan.Loss) ||
        Cuts.contains({Message.from_host(), Message.to_host()}) ||
        Cuts.contains({Message.from_host(), ""}) ||
        Cuts.contains({"", Message.to_host()}))
      continue;
    fake_host &Host = Hosts.at(Message.to_host());
    if (Host.Core && Host.InactiveUntil > Now) {
      Messages.push_back(Message);
      continue;
    }
    for (int Copy = chance(Plan.Duplication) ? 2 : 1; Copy > 0; --Copy)
      if (Host.Core)
        Host.Core->receive(Message, Now);
  }
}

void raft_group::run(fake_host &Host, const fault_plan &Plan) {
  Host.Core->tick(Now);
  if (Host.PendingWrite && !chance(Plan.SlowSync))
    finishWrite(Host);
  for (auto &Message : Host.Core->takeMessages(Now))
    Messages.push_back(std::move(Message));
  if (!Host.PendingWrite) {
    storage_batch Batch = Host.Core->takeBatch();
    if (Batch.empty())
      for (auto &Message : Batch.SendAfter)
        Messages.push_back(std::move(Message));
    else
      Host.PendingWrite = std::move(Batch);
  }
  applyTo(Host);
  if (Host.AppliedIndex < Host.SnapshotIndex + EntriesPerSnapshot)
    return;
  Host.SnapshotIndex = Host.AppliedIndex;
  Host.Core->compact(Host.AppliedIndex, Host.Applied, Host.AppliedIndex - 5);
}

void raft_group::finishWrite(fake_host &Host) {
  const storage_batch Synced = std::move(*Host.PendingWrite);
  Host.PendingWrite.reset();
  persist(Host.Disk, Synced);
  Host.Core->synced(Synced, Now);
  for (const wire::raft_message &Message : Synced.SendAfter)
    Messages.push_back(Message);
}

void raft_group::persist(stored_state &Disk, const storage_batch &Batch) {
  Disk.Vote = Batch.Record.vote();
  if (Batch.Snapshot) {
    Disk.Snapshot = *Batch.Snapshot;
    Disk.Entries = Batch.EntriesAfterSnapshot;
    return;
  }
  for (const wire::raft_entry &Entry : Batch.Record.entries()) {
    std::erase_if(Disk.Entries, [&](const wire::raft_entry &Each) {
      return Each.index() >= Entry.index();
    });
    Disk.Entries.push_back(Entry);
  }
}

void raft_group::applyTo(fake_host &Host) {
  if (const auto Snapshot = Host.Core->takeSnapshotToInstall()) {
    Host.Applied = Snapshot->state();
    Host.AppliedIndex = Host.SnapshotIndex = Snapshot->index();
  }
  for (const wire::raft_entry &Entry : Host.Core->takeCommitted()) {
    ASSERT_EQ(Entry.index(), Host.AppliedIndex + 1);
    Host.AppliedIndex = Entry.index();
    Host.Applied += Entry.command();
    const auto FirstApplied =
        Entries.emplace(Entry.index(), std::pair(Entry.term(), Host.Applied));
    EXPECT_EQ(FirstApplied.first->second, std::pair(Entry.term(), Host.Applied))
        << Host.Id << " applied a different entry or state at index "
        << Entry.index();
    Committed = std::max(Committed, Entry.index());
  }
}

void raft_group::checkLeaders() {
  unsigned Confirmed = 0;
  for (auto &[Id, Host] : Hosts) {
    if (!Host.Core || Host.Core->role() != raft_role::Leader)
      continue;
    const auto FirstLeader = LeaderOfTerm.emplace(Host.Core->term(), Id);
    EXPECT_EQ(FirstLeader.first->second, Id) << "term " << Host.Core->term();
    if (!Host.Core->leadershipConfirmed(Now))
      continue;
    ++Confirmed;
    EXPECT_GE(Host.Core->commitIndex(), Committed)
        << Id << " is a confirmed leader but lacks committed entries";
  }
  EXPECT_LE(Confirmed, 1U);
}

fake_host *raft_group::leader() {
  fake_host *Newest = nullptr;
  for (auto &[Id, Host] : Hosts)
    if (Host.Core && Host.Core->role() == raft_role::Leader &&
        (!Newest || Host.Core->term() > Newest->Core->term()))
      Newest = &Host;
  return Newest;
}

void raft_group::propose() {
  fake_host *Leader = leader();
  if (Leader && Leader->Core->propose(fmt::format("{};", Proposed)))
    ++Proposed;
}

std::set<std::string> raft_group::voters() {
  std::set<std::string> Found;
  const fake_host *Leader = leader();
  if (!Leader || !Leader->Core->leadershipConfirmed(Now) ||
      Leader->Core->commitIndex() < Leader->Core->log().configIndex())
    return Found;
  for (const auto &Member : Leader->Core->log().config().members())
    if (Member.voter())
      Found.insert(Member.host_id());
  return Found;
}

bool raft_group::allHostsAreVoters() const {
  for (const auto &[Id, Host] : Hosts) {
    if (!Host.Core)
      return false;
    const auto &Members = Host.Core->log().config().members();
    if (static_cast<std::size_t>(Members.size()) != Hosts.size())
      return false;
    for (const wire::raft_member &Member : Members)
      if (!Member.voter() ||
          Hosts.at(Member.host_id()).Disk.Identity.replica_id() !=
              Member.replica_id())
        return false;
  }
  return true;
}

bool raft_group::allHostsAgree() const {
  for (const auto &[Id, Host] : Hosts)
    if (!Host.Core || Host.AppliedIndex != Committed ||
        Host.Applied != Hosts.begin()->second.Applied)
      return false;
  return true;
}

bool raft_group::leaderKnowsAsVoter(const std::string &Id) {
  const fake_host *Leader = leader();
  if (!Leader ||
      Leader->Core->commitIndex() < Leader->Core->log().configIndex())
    return false;
  const auto &Members = Leader->Core->log().config().members();
  return std::any_of(Members.begin(), Members.end(), [&](const auto &Member) {
    return Member.host_id() == Id && Member.voter() &&
           Member.replica_id() == Hosts.at(Id).Disk.Identity.replica_id();
  });
}

bool raft_group::membersAreVotersAndAgree() {
  const fake_host *Leader = leader();
  if (!Leader || !Leader->Core->leadershipConfirmed(Now) ||
      Leader->Core->commitIndex() < Leader->Core->log().configIndex())
    return false;
  unsigned FoundersFound = 0;
  for (const auto &Member : Leader->Core->log().config().members()) {
    const fake_host &Host = Hosts.at(Member.host_id());
    if (!Host.Core || !Member.voter() || !Member.replaces().empty() ||
        Member.replica_id() != Host.Disk.Identity.replica_id() ||
        Host.AppliedIndex != Committed || Host.Applied != Leader->Applied)
      return false;
    if (std::stoul(Member.host_id().substr(1)) <= Founders)
      ++FoundersFound;
  }
  return FoundersFound == Founders;
}

} // namespace pomelo
