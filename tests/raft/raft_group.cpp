#include "raft/raft_group.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds StepTime{10};
constexpr std::uint64_t EntriesPerSnapshot = 40;

} // namespace

raft_group::raft_group(unsigned HostCount, std::uint64_t Seed) : Random(Seed) {
  wire::raft_config Config;
  for (unsigned Number = 1; Number <= HostCount; ++Number) {
    const std::string Id = fmt::format("c{}", Number);
    addHost(Id);
    wire::raft_member *Member = Config.add_members();
    Member->set_host_id(Id);
    Member->set_replica_id(Hosts[Id].Disk.Identity.replica_id());
    Member->set_voter(true);
  }
  Hosts["c1"].Core->found(Config, Now);
}

void raft_group::addHost(const std::string &Id) {
  Hosts[Id].Id = Id;
  blank(Hosts[Id]);
  start(Id);
}

void raft_group::blank(fake_host &Host) {
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
  Options.RunId = Random();
  Options.Random = [this] { return Random(); };
  Options.Limits.MessageBytes = 200;
  Host.Core = std::make_unique<raft_core>(Options, Host.Disk, Now);
}

void raft_group::crash(const std::string &Id, bool KeepsUnsynced) {
  fake_host &Host = Hosts[Id];
  if (Host.Writing && KeepsUnsynced)
    persist(Host.Disk, *Host.Writing);
  Host.Writing.reset();
  Host.Core.reset();
}

void raft_group::loseDisk(const std::string &Id) {
  crash(Id, false);
  blank(Hosts[Id]);
}

void raft_group::cut(const std::string &From, const std::string &To) {
  Cuts.emplace(From, To);
}

void raft_group::heal() { Cuts.clear(); }

bool raft_group::chance(double Percent) {
  return std::uniform_real_distribution<>(0, 100)(Random) < Percent;
}

void raft_group::steps(int Count, const fault_plan &Plan) {
  for (int Step = 0; Step < Count; ++Step)
    step(Plan);
}

void raft_group::step(const fault_plan &Plan) {
  Now += StepTime;
  injectFaults(Plan);
  deliver(Plan);
  for (auto &[Id, Host] : Hosts)
    if (Host.Core && Host.StoppedUntil <= Now)
      run(Host, Plan);
  checkLeaders();
}

void raft_group::injectFaults(const fault_plan &Plan) {
  for (auto &[Id, Host] : Hosts) {
    const auto Outage = std::chrono::duration_cast<raft_time::duration>(
        StepTime * static_cast<int>(Random() % 200));
    if (!Host.Core && Host.StoppedUntil <= Now)
      start(Id);
    else if (Host.Core && chance(Plan.Pause))
      Host.StoppedUntil = Now + Outage;
    else if (Host.Core && chance(Plan.DiskLoss) && allVoters()) {
      loseDisk(Id);
      Host.StoppedUntil = Now + Outage;
    } else if (Host.Core && chance(Plan.Crash)) {
      crash(Id, chance(50));
      Host.StoppedUntil = Now + Outage;
    }
    for (const auto &[Other, Unused] : Hosts)
      if (chance(Plan.Cut))
        cut(Id, Other);
  }
  if (!Cuts.empty() && Plan.Cut > 0 && chance(2))
    heal();
}

void raft_group::deliver(const fault_plan &Plan) {
  std::vector<wire::raft_message> Due = std::exchange(Messages, {});
  if (Plan.Reordering) {
    std::shuffle(Due.begin(), Due.end(), Random);
    // Some messages arrive later than those of the next steps.
    const auto Late = Due.begin() + static_cast<std::ptrdiff_t>(Due.size() / 2);
    Messages.assign(Late, Due.end());
    Due.erase(Late, Due.end());
  }
  for (const wire::raft_message &Message : Due) {
    if (chance(Plan.Loss) ||
        Cuts.contains({Message.from_host(), Message.to_host()}) ||
        Cuts.contains({Message.from_host(), ""}) ||
        Cuts.contains({"", Message.to_host()}))
      continue;
    fake_host &Host = Hosts.at(Message.to_host());
    if (Host.Core && Host.StoppedUntil > Now) {
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
  if (Host.Writing && !chance(Plan.SlowSync))
    finishWrite(Host);
  for (auto &Message : Host.Core->takeMessages(Now))
    Messages.push_back(std::move(Message));
  if (!Host.Writing) {
    storage_batch Batch = Host.Core->takeBatch();
    if (Batch.empty())
      for (auto &Message : Batch.SendAfter)
        Messages.push_back(std::move(Message));
    else
      Host.Writing = std::move(Batch);
  }
  applyTo(Host);
  if (Host.AppliedIndex < Host.SnapshotIndex + EntriesPerSnapshot)
    return;
  Host.SnapshotIndex = Host.AppliedIndex;
  Host.Core->compact(Host.AppliedIndex, Host.Applied, Host.AppliedIndex - 5);
}

void raft_group::finishWrite(fake_host &Host) {
  const storage_batch Done = std::move(*Host.Writing);
  Host.Writing.reset();
  persist(Host.Disk, Done);
  Host.Core->synced(Done, Now);
  for (const wire::raft_message &Message : Done.SendAfter)
    Messages.push_back(Message);
}

void raft_group::persist(stored_state &Disk, const storage_batch &Batch) {
  Disk.Vote = Batch.Record.vote();
  if (Batch.Snapshot) {
    Disk.Snapshot = *Batch.Snapshot;
    Disk.Entries = Batch.Kept;
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
  if (const auto Snapshot = Host.Core->takeInstall()) {
    Host.Applied = Snapshot->state();
    Host.AppliedIndex = Host.SnapshotIndex = Snapshot->index();
  }
  for (const wire::raft_entry &Entry : Host.Core->takeCommitted()) {
    ASSERT_EQ(Entry.index(), Host.AppliedIndex + 1);
    Host.AppliedIndex = Entry.index();
    Host.Applied += Entry.command();
    const auto Known =
        Entries.emplace(Entry.index(), std::pair(Entry.term(), Host.Applied));
    EXPECT_EQ(Known.first->second, std::pair(Entry.term(), Host.Applied))
        << Host.Id << " applied another entry at " << Entry.index();
    Committed = std::max(Committed, Entry.index());
  }
}

void raft_group::checkLeaders() {
  unsigned Confirmed = 0;
  for (auto &[Id, Host] : Hosts) {
    if (!Host.Core || Host.Core->role() != raft_role::Leader)
      continue;
    const auto Known = LeaderOfTerm.emplace(Host.Core->term(), Id);
    EXPECT_EQ(Known.first->second, Id) << "term " << Host.Core->term();
    if (!Host.Core->leadershipConfirmed(Now))
      continue;
    ++Confirmed;
    EXPECT_GE(Host.Core->commitIndex(), Committed)
        << Id << " is confirmed without everything that was committed";
  }
  EXPECT_LE(Confirmed, 1U);
}

fake_host *raft_group::leader() {
  fake_host *Found = nullptr;
  for (auto &[Id, Host] : Hosts)
    if (Host.Core && Host.Core->role() == raft_role::Leader &&
        (!Found || Host.Core->term() > Found->Core->term()))
      Found = &Host;
  return Found;
}

void raft_group::propose() {
  fake_host *Leader = leader();
  if (Leader && Leader->Core->propose(fmt::format("{};", Proposed)))
    ++Proposed;
}

bool raft_group::allVoters() const {
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

bool raft_group::allEqual() const {
  for (const auto &[Id, Host] : Hosts)
    if (!Host.Core || Host.AppliedIndex != Committed ||
        Host.Applied != Hosts.begin()->second.Applied)
      return false;
  return true;
}

} // namespace pomelo
