#include "pomeloswitch/control/state_feed.hpp"

#include "pomeloswitch/raft/local_log.hpp"
#include "pomeloswitch/state/configuration_difference.hpp"
#include "pomeloswitch/state/configuration_packing.hpp"
#include "pomeloswitch/wire/packing.hpp"
#include "state/state_fixture.hpp"

#include <gtest/gtest.h>

#include <set>

namespace pomelo {
namespace {

//! A log whose entries a state applies, and a host that follows both.
class state_feed_fixture : public testing::Test {
protected:
  state_feed_fixture() {
    replicated_log::applier Applier;
    Applier.OnLeadership = [](bool) {};
    Applier.OnCommitted = [this](const committed_entry &Entry) {
      wire::command Command;
      ASSERT_TRUE(Command.ParseFromString(Entry.Command));
      Feed.beforeApplying(Entry.Index, Command);
      State.apply(Entry.Index, Command);
    };
    Log.start(Applier);
  }

  void commit(const wire::command &Command) {
    Log.propose(Command.SerializeAsString(), [](const proposal_outcome &) {});
  }

  //! \p Comment makes the configuration larger.
  void commitConfiguration(std::uint64_t Number,
                           const std::string &Comment = {}) {
    wire::command Command;
    auto *Change = Command.mutable_replace_configuration();
    Change->set_number(Number);
    Change->set_inventory_json(testInventory(64));
    Change->set_rules_json(testRules(2000));
    Change->set_source(Comment);
    commit(Command);
  }

  void commitHosts(unsigned Count) {
    for (unsigned Number = 0; Number < Count; ++Number) {
      wire::command Command;
      Command.mutable_host_joined()->set_host_id(fmt::format("e{}", Number));
      Command.mutable_host_joined()->set_incarnation(1);
      Command.mutable_host_joined()->set_failure_domain("a");
      commit(Command);
    }
  }

  //! Reads all that there is for the host.
  void follow() {
    while (const auto Batch = Feed.next(Position)) {
      ++Batches;
      wire::state_snapshot Snapshot;
      if (!Batch->packed_snapshot().empty()) {
        ASSERT_TRUE(unpackMessage(Batch->packed_snapshot(), Snapshot));
        Follower = cluster_state::fromSnapshot(Snapshot);
        Snapshots.insert(Snapshot.index());
      }
      for (const wire::log_entry &Entry : Batch->entries()) {
        ASSERT_EQ(Entry.index(), Follower.index() + 1);
        wire::command Command;
        ASSERT_TRUE(Command.ParseFromString(Entry.command()));
        if (Command.has_replace_configuration())
          *Command.mutable_replace_configuration() =
              restoreFrom(Follower, Command.replace_configuration());
        Bytes += Entry.command().size();
        Follower.apply(Entry.index(), Command);
      }
      Configurations.insert(Follower.configurationNumber());
    }
    EXPECT_EQ(Follower.toSnapshot().SerializeAsString(),
              State.toSnapshot().SerializeAsString());
  }

  void startFollowerAnew() {
    Follower = cluster_state();
    Position.NextIndex = 1;
  }

  local_log Log{"c1"};
  cluster_state State;
  state_feed Feed{State, Log};
  cluster_state Follower;
  feed_position Position{1, true};
  unsigned Batches = 0;
  std::size_t Bytes = 0; //!< Of all entries.
  std::set<std::uint64_t> Snapshots;
  std::set<std::uint64_t> Configurations;
};

TEST_F(state_feed_fixture, shows_a_starting_host_no_older_configuration) {
  for (std::uint64_t Number = 1; Number <= 40; ++Number) {
    commitConfiguration(Number);
    commitHosts(10);
  }
  follow();
  EXPECT_EQ(Configurations, std::set<std::uint64_t>{40});
  EXPECT_EQ(Batches, 1U);
}

TEST_F(state_feed_fixture, skips_large_configurations_that_are_superseded) {
  commitConfiguration(1);
  follow();
  const std::string Large(state_feed::BatchBytes / 4, 'x');
  for (std::uint64_t Number = 2; Number <= 9; ++Number)
    commitConfiguration(Number, Large);
  follow();
  EXPECT_EQ(Configurations, (std::set<std::uint64_t>{1, 9}));
}

TEST_F(state_feed_fixture, sends_entries_to_a_host_that_is_close_behind) {
  commitConfiguration(1);
  follow();
  commitHosts(state_feed::MaxEntriesBehind);
  follow();
  EXPECT_TRUE(Snapshots.empty());
}

TEST_F(state_feed_fixture, sends_one_snapshot_to_hosts_that_start_together) {
  commitConfiguration(1);
  commitHosts(400);
  follow();
  commitHosts(10);
  startFollowerAnew();
  follow();
  EXPECT_EQ(Snapshots.size(), 1U);
}

//! Guards against links filled by configurations that change next to nothing.
TEST_F(state_feed_fixture, sends_of_a_configuration_only_what_has_changed) {
  const std::string Comment(100'000, 'x');
  commitConfiguration(1, Comment + "first");
  follow();
  Bytes = 0;
  commitConfiguration(2, Comment + "second");
  follow();
  EXPECT_LT(Bytes, 300U);
}

TEST_F(state_feed_fixture, sends_whole_configurations_to_hosts_that_ask_so) {
  Position.AcceptsDifferences = false;
  commitConfiguration(1);
  follow();
  Bytes = 0;
  commitConfiguration(2, "second");
  follow();
  EXPECT_GT(Bytes, 300U);
}

} // namespace
} // namespace pomelo
