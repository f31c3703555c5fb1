#include "pomeloswitch/raft/raft_log.hpp"

#include "pomeloswitch/raft/file_storage.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <functional>

namespace pomelo {
namespace {

using std::chrono::seconds;

//! A storage that discards all data and fails every write once none of
//! \p Writes is left.
class failing_storage final : public log_storage {
public:
  explicit failing_storage(int &Writes) : Writes(Writes) {}
  stored_state load() override {
    stored_state Stored;
    Stored.Identity.set_replica_id("r1");
    return Stored;
  }
  void write(const storage_batch &) override {
    if (Writes-- <= 0)
      throw pomelo_error(error_kind::StorageFailed, "no space");
  }

private:
  int &Writes;
};

class raft_log_alone : public testing::Test {
protected:
  void start(int Writes, bool MayFound = true) {
    WritesLeft = Writes;
    raft_log::options Options;
    Options.HostId = "c1";
    Options.Members = {{"c1", "127.0.0.1:1"}};
    if (MayFound)
      Options.Founders = Options.Members;
    Log = std::make_unique<raft_log>(Io, Options, [this] {
      return std::make_unique<failing_storage>(WritesLeft);
    });
    replicated_log::applier Applier;
    Applier.OnCommitted = [this](const committed_entry &Entry) {
      Commands += Entry.Command;
    };
    Applier.OnLeadership = [this](bool Leading) { IsLeader = Leading; };
    Applier.TakeSnapshot = [] { return std::string(); };
    Log->start(Applier);
  }

  template <typename Predicate> bool runUntil(Predicate Condition) {
    const auto Deadline = std::chrono::steady_clock::now() + seconds(5);
    while (!Condition() && std::chrono::steady_clock::now() < Deadline)
      Io.run_one_for(seconds(1));
    return Condition();
  }

  std::optional<proposal_outcome> propose(const std::string &Command) {
    auto Outcome = std::make_shared<std::optional<proposal_outcome>>();
    Log->propose(Command, [Outcome](const proposal_outcome &Reported) {
      *Outcome = Reported;
    });
    runUntil([&] { return Outcome->has_value(); });
    return *Outcome;
  }

  int WritesLeft = 0;
  boost::asio::io_context Io;
  std::unique_ptr<raft_log> Log;
  std::string Commands;
  bool IsLeader = false;
};

TEST_F(raft_log_alone, founds_its_group_and_commits) {
  constexpr int Unlimited = 1000;
  start(Unlimited);
  ASSERT_TRUE(runUntil([&] { return IsLeader; }));
  EXPECT_EQ(propose("a")->Failure, std::nullopt);
  EXPECT_EQ(propose("b")->Failure, std::nullopt);
  EXPECT_EQ(Commands, "ab");
  EXPECT_TRUE(Log->leadershipConfirmed());
}

// An operator was told that the change is invalid, and did not send it again.
TEST_F(raft_log_alone, asks_for_a_membership_change_again_after_another) {
  constexpr int Unlimited = 1000;
  start(Unlimited);
  ASSERT_TRUE(runUntil([&] { return IsLeader; }));
  const std::uint64_t Added = Log->addMember({"c2", "127.0.0.1:2"}, "");
  const auto FailureOf = [](const std::function<void()> &Change) {
    try {
      Change();
    } catch (const pomelo_error &Failure) {
      return std::optional(Failure.kind());
    }
    return std::optional<error_kind>();
  };
  EXPECT_EQ(FailureOf([&] {
              Log->addMember({"c3", "127.0.0.1:3"}, "");
            }),
            error_kind::NoQuorum);
  EXPECT_EQ(FailureOf([&] { Log->removeMember("c2"); }), error_kind::NoQuorum);
  ASSERT_TRUE(runUntil([&] { return Log->commitIndex() >= Added; }));
  EXPECT_EQ(FailureOf([&] { Log->removeMember("c2"); }), std::nullopt);
}

TEST_F(raft_log_alone, founds_no_group_without_the_right_to) {
  constexpr int Unlimited = 1000;
  start(Unlimited, false);
  for (int Runs = 0; Runs < 100; ++Runs) // 10 ms each, ten times the interval.
    Io.run_one_for(seconds(1));
  EXPECT_TRUE(Log->members().empty());
  EXPECT_FALSE(IsLeader);
}

TEST_F(raft_log_alone, stops_taking_part_when_its_storage_fails) {
  // Three writes succeed: the configuration, the vote and the no-op of the new
  // term.
  start(3);
  ASSERT_TRUE(runUntil([&] { return IsLeader; }));
  EXPECT_EQ(propose("a")->Failure, error_kind::StorageFailed);
  EXPECT_FALSE(IsLeader);
  EXPECT_FALSE(Log->leadershipConfirmed());
  EXPECT_EQ(propose("b")->Failure, error_kind::StorageFailed);
  EXPECT_EQ(Commands, "");
}

//! A log alone in its group, with a data folder that outlives it.
class raft_log_restart : public testing::Test {
protected:
  raft_log_restart() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "pomelo-raft-XXXXXX")
            .string();
    Folder = mkdtemp(Pattern.data());
  }
  ~raft_log_restart() override {
    Log.reset();
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  }

  void start() {
    AppliedBytes = 0;
    Log.reset();
    raft_log::options Options;
    Options.HostId = "c1";
    Options.Members = Options.Founders = {{"c1", "127.0.0.1:1"}};
    Log = std::make_unique<raft_log>(Io, Options, [this, Options] {
      return std::make_unique<file_storage>(
          Folder / "data", "c1", std::make_unique<file_io>(), Options.Founders);
    });
    replicated_log::applier Applier;
    Applier.OnCommitted = [this](const committed_entry &Entry) {
      AppliedBytes += Entry.Command.size();
    };
    Applier.OnLeadership = [this](bool Leading) { IsLeader = Leading; };
    Applier.TakeSnapshot = [] { return std::string("state"); };
    Applier.OnSnapshot = [](std::uint64_t, const std::string &) {};
    Log->start(Applier);
    const auto Deadline = std::chrono::steady_clock::now() + seconds(5);
    while (!IsLeader && std::chrono::steady_clock::now() < Deadline)
      Io.run_one_for(seconds(1));
    ASSERT_TRUE(IsLeader);
  }

  void commit(const std::string &Command) {
    bool Done = false;
    Log->propose(Command, [&Done](const proposal_outcome &Outcome) {
      EXPECT_EQ(Outcome.Failure, std::nullopt);
      Done = true;
    });
    while (!Done)
      Io.run_one_for(seconds(1));
  }

  std::filesystem::path Folder;
  boost::asio::io_context Io;
  std::unique_ptr<raft_log> Log;
  std::size_t AppliedBytes = 0;
  bool IsLeader = false;
};

// A control host that starts anew serves nobody until it has applied its log.
TEST_F(raft_log_restart, applies_few_of_many_configurations_again) {
  constexpr std::size_t ConfigurationBytes = 10000;
  constexpr int Configurations = 100;
  ASSERT_NO_FATAL_FAILURE(start());
  for (int Number = 0; Number < Configurations; ++Number)
    commit(std::string(ConfigurationBytes, 'c'));
  Log->stop();
  IsLeader = false;
  ASSERT_NO_FATAL_FAILURE(start());
  EXPECT_LE(AppliedBytes, ConfigurationBytes * Configurations / 4);
}

} // namespace
} // namespace pomelo
