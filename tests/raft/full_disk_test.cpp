//! Disks that refuse operations for a while, under a group of three hosts.
#include "raft/refusing_file_io.hpp"

#include "pomeloswitch/raft/file_storage.hpp"
#include "pomeloswitch/raft/raft_log.hpp"
#include "pomeloswitch/wire/peer_link.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <sstream>
#include <thread>

namespace pomelo {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::string_view Secret = "secret of the group";

//! A control host without its other tasks. Its state is the list of commands.
class log_host {
public:
  log_host(std::string GivenId, fs::path GivenFolder)
      : Id(std::move(GivenId)), Folder(std::move(GivenFolder)),
        Disk(std::make_shared<std::atomic<disk_refusal>>(disk_refusal::None)) {
    peer_link::handlers Handlers;
    Handlers.OnOpen = [](const std::shared_ptr<peer_link> &) {};
    Handlers.OnClose = [](const std::shared_ptr<peer_link> &) {};
    Handlers.OnMessage = [this](const std::shared_ptr<peer_link> &Link,
                                const wire::envelope &Message) {
      if (Log && Message.has_raft())
        Log->deliver(Link, Message.raft());
    };
    Listener = std::make_unique<peer_listener>(Io, parseEndpoint("127.0.0.1:0"),
                                               std::string(Secret), Handlers);
  }
  ~log_host() { stop(); }

  host_address address() const { return {Id, toString(Listener->address())}; }

  void start(const std::vector<host_address> &Founders) {
    Commands.clear();
    LastIndex = 0;
    raft_log::options Options;
    Options.HostId = Id;
    Options.FailureDomain = Id;
    Options.Address = address().Address;
    Options.Secret = Secret;
    Options.Members = Founders;
    Options.ReplayEntries = 5;
    Options.RetainedEntries = 5;
    Log = std::make_unique<raft_log>(Io, Options, [this, Founders] {
      return std::make_unique<file_storage>(
          Folder, Id, std::make_unique<refusing_file_io>(Disk), Founders);
    });
    Log->start(applier());
  }

  void stop() {
    if (Log)
      Log->stop();
    Log.reset();
  }

  bool run() { return Io.poll() > 0; }

  std::string Id;
  fs::path Folder;
  disk_switch Disk;
  std::vector<std::string> Commands;
  std::unique_ptr<raft_log> Log;

private:
  replicated_log::applier applier() {
    replicated_log::applier Applier;
    Applier.OnCommitted = [this](const committed_entry &Entry) {
      EXPECT_EQ(Entry.Index, LastIndex + 1) << "repeated or left out";
      LastIndex = Entry.Index;
      if (!Entry.Command.empty())
        Commands.push_back(Entry.Command);
    };
    Applier.OnSnapshot = [this](std::uint64_t Index, const std::string &State) {
      EXPECT_GT(Index, LastIndex) << "went backwards";
      LastIndex = Index;
      Commands.clear();
      std::istringstream Lines(State);
      for (std::string Line; std::getline(Lines, Line);)
        Commands.push_back(Line);
    };
    Applier.TakeSnapshot = [this] {
      return fmt::format("{}\n", fmt::join(Commands, "\n"));
    };
    Applier.OnLeadership = [](bool) {};
    return Applier;
  }

  boost::asio::io_context Io;
  std::unique_ptr<peer_listener> Listener;
  std::uint64_t LastIndex = 0;
};

using picker = bool (*)(const log_host &Host);

bool leads(const log_host &Host) { return Host.Log->leadershipConfirmed(); }
bool follows(const log_host &Host) { return Host.Log->leaderReachable(); }

struct refusal_case {
  std::string Name;
  disk_refusal Refusal;
};

struct role_case {
  std::string Name;
  picker Picks;
};

using full_disk_parameters = std::tuple<refusal_case, role_case>;

class log_group {
public:
  explicit log_group(const std::string &Name)
      : Parent(fs::path(testing::TempDir()) /
               fmt::format("full-disk-{}", Name)) {
    fs::remove_all(Parent);
    fs::create_directories(Parent);
    for (const std::string Id : {"c1", "c2", "c3"}) {
      Hosts.push_back(std::make_unique<log_host>(Id, Parent / Id));
      Founders.push_back(Hosts.back()->address());
    }
  }
  ~log_group() {
    Hosts.clear();
    fs::remove_all(Parent);
  }

  void start() {
    for (const auto &Host : Hosts)
      Host->start(Founders);
  }

  template <typename Predicate> bool runUntil(Predicate Condition) {
    const auto Deadline = steady_clock::now() + seconds(8);
    while (!Condition() && steady_clock::now() < Deadline) {
      bool Ran = false;
      for (const auto &Host : Hosts)
        Ran |= Host->run();
      if (!Ran)
        std::this_thread::sleep_for(milliseconds(1));
    }
    return Condition();
  }

  //! Changes go on while the group waits for \p Condition.
  template <typename Predicate> bool changeUntil(Predicate Condition) {
    return runUntil([&] {
      proposeNext();
      return Condition();
    });
  }

  log_host *find(picker Picks) {
    const auto Found = std::find_if(Hosts.begin(), Hosts.end(),
                                    [&](const auto &H) { return Picks(*H); });
    return Found == Hosts.end() ? nullptr : Found->get();
  }

  //! A change that the host has not answered yet stays unanswered.
  void stop(log_host &Host) {
    Pending = Pending && !Host.Log->leading();
    Host.stop();
  }

  //! Whether a change proposed from now on is acknowledged.
  bool changes() {
    const std::size_t Before = Acknowledged.size();
    return changeUntil([&] { return Acknowledged.size() > Before + 1; });
  }

  bool allApplied() {
    return runUntil([&] {
      return std::all_of(Hosts.begin(), Hosts.end(), [&](const auto &Host) {
        return Host->Log->takesPart() &&
               Host->Commands == Hosts.front()->Commands &&
               std::all_of(Acknowledged.begin(), Acknowledged.end(),
                           [&](const std::string &Command) {
                             return std::count(Host->Commands.begin(),
                                               Host->Commands.end(),
                                               Command) == 1;
                           });
      });
    });
  }

  std::vector<std::unique_ptr<log_host>> Hosts;
  std::vector<host_address> Founders;

private:
  //! One change at a time; each ends with some outcome.
  void proposeNext() {
    log_host *Leader = find(leads);
    if (Pending || !Leader)
      return;
    Pending = true;
    const std::string Command = fmt::format("change {}", ++Proposed);
    Leader->Log->propose(Command, [this, Command](const proposal_outcome &Out) {
      Pending = false;
      if (!Out.Failure)
        Acknowledged.push_back(Command);
    });
  }

  fs::path Parent;
  std::vector<std::string> Acknowledged;
  std::uint64_t Proposed = 0;
  bool Pending = false;
};

std::string testName() {
  std::string Name =
      testing::UnitTest::GetInstance()->current_test_info()->name();
  std::replace(Name.begin(), Name.end(), '/', '-');
  return Name;
}

class full_disk : public testing::TestWithParam<full_disk_parameters> {
protected:
  disk_refusal refusal() const { return std::get<0>(GetParam()).Refusal; }

  log_group Group{testName()};
};

TEST_P(full_disk, keeps_a_host_out_only_while_it_lasts) {
  Group.start();
  ASSERT_TRUE(Group.changes());
  for (std::size_t Round = 0; Round < Group.Hosts.size(); ++Round) {
    SCOPED_TRACE(fmt::format("round {}", Round));
    const picker Picks = std::get<1>(GetParam()).Picks;
    ASSERT_TRUE(Group.runUntil([&] { return Group.find(Picks); }));
    log_host &Full = *Group.find(Picks);
    *Full.Disk = refusal();
    ASSERT_TRUE(Group.changeUntil([&] { return !Full.Log->takesPart(); }));
    EXPECT_FALSE(leads(Full));
    ASSERT_TRUE(Group.changes()) << "the two others serve";
    *Full.Disk = disk_refusal::None;
    ASSERT_TRUE(Group.changeUntil([&] { return Full.Log->takesPart(); }));
    ASSERT_TRUE(Group.changes());
    ASSERT_TRUE(Group.allApplied());
  }
  Group.stop(*Group.Hosts.front());
  Group.stop(*Group.Hosts.back());
  Group.Hosts.front()->start(Group.Founders);
  Group.Hosts.back()->start(Group.Founders);
  ASSERT_TRUE(Group.changes());
  EXPECT_TRUE(Group.allApplied());
}

TEST_P(full_disk, delays_the_first_start_of_a_host) {
  *Group.Hosts.front()->Disk = refusal();
  ASSERT_NO_THROW(Group.start());
  EXPECT_FALSE(Group.Hosts.front()->Log->takesPart());
  *Group.Hosts.front()->Disk = disk_refusal::None;
  ASSERT_TRUE(Group.changes());
  EXPECT_TRUE(Group.allApplied());
}

TEST_P(full_disk, delays_a_later_start_of_a_host) {
  Group.start();
  ASSERT_TRUE(Group.changes());
  const picker Picks = std::get<1>(GetParam()).Picks;
  ASSERT_TRUE(Group.runUntil([&] { return Group.find(Picks); }));
  log_host &Full = *Group.find(Picks);
  Group.stop(Full);
  *Full.Disk = refusal();
  ASSERT_NO_THROW(Full.start(Group.Founders));
  EXPECT_FALSE(Full.Log->takesPart());
  ASSERT_TRUE(Group.changes());
  *Full.Disk = disk_refusal::None;
  ASSERT_TRUE(Group.changes());
  EXPECT_TRUE(Group.allApplied());
}

INSTANTIATE_TEST_SUITE_P(
    table, full_disk,
    testing::Combine(
        testing::Values(refusal_case{"create", disk_refusal::Create},
                        refusal_case{"rename", disk_refusal::Rename},
                        refusal_case{"write", disk_refusal::Write},
                        refusal_case{"torn_write", disk_refusal::TornWrite},
                        refusal_case{"sync", disk_refusal::Sync}),
        testing::Values(role_case{"leader", leads},
                        role_case{"follower", follows})),
    [](const auto &Info) {
      return fmt::format("{}_{}", std::get<0>(Info.param).Name,
                         std::get<1>(Info.param).Name);
    });

} // namespace
} // namespace pomelo
