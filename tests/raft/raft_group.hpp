//! Simulates a group of Raft cores with fake disks and a fake network.
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

//! Probabilities of faults in percent. They apply to each message, or in each
//! 10 ms step to each host, pending batch or pair of hosts.
struct fault_plan {
  std::string Name;
  unsigned Loss = 0;
  unsigned Duplication = 0;
  bool Reordering = false;
  double Pause = 0;
  double Crash = 0;
  double DiskLoss = 0;
  unsigned SlowSync = 0; //!< A pending batch is not yet durable.
  double Cut = 0;        //!< One direction between two hosts is cut.
};

inline void PrintTo(const fault_plan &Plan, std::ostream *Out) {
  *Out << Plan.Name;
}

//! One simulated control host.
struct fake_host {
  std::string Id;
  std::string FailureDomain;
  bool MayFound = true;
  bool FirstStart = true;
  //! Hosts that its settings name.
  std::vector<host_address> Seeds;
  std::unique_ptr<raft_core> Core; //!< Null while the host is down.
  stored_state Disk;
  std::optional<storage_batch> PendingWrite;
  std::string Applied; //!< All applied commands, concatenated.
  std::uint64_t AppliedIndex = 0;
  std::uint64_t SnapshotIndex = 0;
  raft_time InactiveUntil{}; //!< Paused or down until this time.
};

//! Runs the hosts c1, c2, ... in steps of 10 ms. Checks in each step that a
//! term has one leader, that at most one host is a confirmed leader and that
//! all hosts apply the same entries in the same order.
class raft_group {
public:
  //! Starts \p Outsiders further hosts that are not members of the group. The
  //! group is founded to bear the loss of \p ToleratedLosses hosts at once.
  raft_group(unsigned HostCount, std::uint64_t Seed, unsigned Outsiders = 0,
             unsigned ToleratedLosses = 0);

  void step(const fault_plan &Plan);
  void runSteps(int Count, const fault_plan &Plan = {});
  //! Runs steps without faults until \p Condition holds, at most \p Limit of
  //! them. Returns whether it holds.
  template <typename Predicate>
  bool stepUntil(Predicate Condition, int Limit = 600) {
    for (int Count = 0; Count < Limit && !Condition(); ++Count)
      step({});
    return Condition();
  }

  fake_host &host(const std::string &Id) { return Hosts.at(Id); }
  [[nodiscard]] std::vector<std::string> hostIds() const;
  //! Starts a host with an empty disk that is not a member of the group.
  void addHost(const std::string &Id);
  //! Starts a host with an empty disk that is no founder, whose settings name
  //! the hosts of \p Seeds. It asks to be taken in.
  void addJoiningHost(const std::string &Id, const std::string &FailureDomain,
                      const std::vector<std::string> &Seeds,
                      bool FirstStart = false);
  //! Stops a host for good.
  void removeHost(const std::string &Id);
  //! Stops a host. A batch that is being written becomes durable if
  //! \p PersistPendingWrite is set and is lost otherwise.
  void crash(const std::string &Id, bool PersistPendingWrite);
  void start(const std::string &Id);
  //! Crashes a host and replaces its disk by an empty one.
  void loseDisk(const std::string &Id);
  //! Empties the disks of \p DiskLost. If \p PowerLost is set, all other hosts
  //! lose power: what they were writing is kept or lost at random. The hosts
  //! start again within \p MaxDownTime. Returns when the last one does.
  raft_time endDay(const std::set<std::string> &DiskLost, bool PowerLost,
                   std::chrono::milliseconds MaxDownTime);
  //! Drops all messages from \p From to \p To until heal(); "" means any host.
  void cut(const std::string &From, const std::string &To);
  //! Removes all cuts.
  void heal();
  //! Returns the running leader with the highest term, or null.
  fake_host *leader();
  //! Proposes a numbered command to the leader, if there is one.
  void propose();
  //! Returns the voters of the leader's committed configuration; empty without
  //! a confirmed leader.
  std::set<std::string> voters();
  bool allHostsAreVoters() const;
  bool allHostsAgree() const;
  //! Returns whether all members in the leader's committed configuration are
  //! voters with the disks they have now, the founding members among them, and
  //! have applied the same entries.
  bool membersAreVotersAndAgree();
  //! Returns whether \p Id, with the disk it has now, is a voter in the
  //! leader's committed configuration.
  bool leaderKnowsAsVoter(const std::string &Id);

  raft_time Now{std::chrono::hours(1)};
  std::uint64_t Proposed = 0;
  std::uint64_t Committed = 0; //!< Highest index that any host has applied.

private:
  void injectFaults(const fault_plan &Plan);
  void deliver(const fault_plan &Plan);
  void run(fake_host &Host, const fault_plan &Plan);
  void finishWrite(fake_host &Host);
  void applyTo(fake_host &Host);
  void checkLeaders();
  bool chance(double Percent);
  static void persist(stored_state &Disk, const storage_batch &Batch);
  void resetDisk(fake_host &Host);

  std::mt19937_64 Random;
  unsigned Founders;
  std::map<std::string, fake_host> Hosts;
  std::vector<wire::raft_message> Messages;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::map<std::uint64_t, std::string> LeaderOfTerm;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> Entries;
  std::uint64_t NextReplica = 1;
};

} // namespace pomelo

#endif
