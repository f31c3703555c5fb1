//! Raft cores on fake disks, joined by a list of messages.
#ifndef POMELOSWITCH_TESTS_RAFT_RAFT_GROUP_HPP
#define POMELOSWITCH_TESTS_RAFT_RAFT_GROUP_HPP

#include "pomeloswitch/raft/raft_core.hpp"

#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pomelo {

//! Faults in each step of 10 ms, in percent; of messages or of hosts.
struct fault_plan {
  std::string Name;
  unsigned Loss = 0;
  unsigned Duplication = 0;
  bool Reordering = false;
  double Pause = 0;
  double Crash = 0;
  double DiskLoss = 0;
  unsigned SlowSync = 0; //!< That a batch is not yet durable.
  double Cut = 0;        //!< That one direction between two hosts is cut.
};

inline void PrintTo(const fault_plan &Plan, std::ostream *Out) {
  *Out << Plan.Name;
}

struct fake_host {
  std::string Id;
  std::unique_ptr<raft_core> Core; //!< Null while it is down.
  stored_state Disk;
  std::optional<storage_batch> Writing;
  std::string Applied; //!< The commands, joined.
  std::uint64_t AppliedIndex = 0;
  std::uint64_t SnapshotIndex = 0;
  raft_time StoppedUntil{}; //!< Paused or down until then.
};

//! Runs the hosts c1, c2, ... and checks after each step that a term has one
//! leader, that at most one host counts as confirmed leader and that all
//! hosts apply the same entries in the same order.
class raft_group {
public:
  raft_group(unsigned HostCount, std::uint64_t Seed);

  void step(const fault_plan &Plan);
  void steps(int Count, const fault_plan &Plan = {});
  //! Steps without faults until \p Condition holds, at most \p Limit times.
  template <typename Predicate>
  bool stepUntil(Predicate Condition, int Limit = 600) {
    for (int Count = 0; Count < Limit && !Condition(); ++Count)
      step({});
    return Condition();
  }

  fake_host &host(const std::string &Id) { return Hosts.at(Id); }
  //! A host outside of the group, with an empty disk.
  void addHost(const std::string &Id);
  void crash(const std::string &Id, bool KeepsUnsynced);
  void start(const std::string &Id);
  void loseDisk(const std::string &Id);
  //! Cuts every message from \p From to \p To, "" for any.
  void cut(const std::string &From, const std::string &To);
  void heal();
  //! The running host that leads with the highest term, or null.
  fake_host *leader();
  //! Proposes a numbered command at the leader if there is one.
  void propose();
  bool allVoters() const;
  bool allEqual() const;

  raft_time Now{std::chrono::hours(1)};
  std::uint64_t Proposed = 0;
  std::uint64_t Committed = 0; //!< Highest index that any host applied.

private:
  void injectFaults(const fault_plan &Plan);
  void deliver(const fault_plan &Plan);
  void run(fake_host &Host, const fault_plan &Plan);
  void finishWrite(fake_host &Host);
  void applyTo(fake_host &Host);
  void checkLeaders();
  bool chance(double Percent);
  static void persist(stored_state &Disk, const storage_batch &Batch);
  void blank(fake_host &Host);

  std::mt19937_64 Random;
  std::map<std::string, fake_host> Hosts;
  std::vector<wire::raft_message> Messages;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::map<std::uint64_t, std::string> LeaderOfTerm;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> Entries;
  std::uint64_t NextReplica = 1;
};

} // namespace pomelo

#endif
