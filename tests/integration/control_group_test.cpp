#include "emulator/deployment.hpp"
#include "emulator/ownership_checker.hpp"
#include "pomeloswitch/cli/admin_client.hpp"
#include "pomeloswitch/settings/json_document.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <set>
#include <thread>

namespace pomelo::emulator {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view Credential = "operator-credential";

//! Operation id of a change and the version returned for it.
struct acknowledged_change {
  std::string OperationId;
  std::uint64_t Version = 0;
};

class control_group : public testing::Test {
protected:
  void SetUp() override { start(false); }

  void start(bool FaultProxy) {
    deployment_plan Plan;
    Plan.FaultProxy = FaultProxy;
    Plan.ControlHosts = 3;
    Plan.FailureDomains = {"a", "b", "c"};
    Group = deployment::builder().withPlan(Plan).build();
  }

  static acknowledged_change change(admin_client &Client,
                                    const std::string &OperationId) {
    const json::object Drain{{"scope", "failure_domain"}, {"name", "a"}};
    const json::object Answer =
        Client.call({"POST", "/v1/drains", json::serialize(Drain), OperationId,
                     std::nullopt});
    return {OperationId, Answer.at("version").to_number<std::uint64_t>()};
  }

  //! Addresses of the running hosts, except \p Without.
  std::vector<std::string> addresses(const std::string &Without = {}) {
    std::vector<std::string> Found;
    for (member *Control : Group->membersOf("control"))
      if (Control->Id != Without && Control->Process->running())
        Found.emplace_back(
            Control->Description.at("admin_address").as_string());
    if (!AddedAddress.empty())
      Found.push_back(AddedAddress);
    return Found;
  }

  admin_client client(const std::string &Without = {}) {
    return {addresses(Without), std::string(Credential)};
  }

  std::vector<acknowledged_change>
  makeChanges(const std::string &Series, int Count,
              const std::string &Without = {}) {
    std::vector<acknowledged_change> Made;
    Made.reserve(static_cast<std::size_t>(Count));
    admin_client Client = client(Without);
    for (int Number = 0; Number < Count; ++Number)
      Made.push_back(change(Client, fmt::format("{}-{}", Series, Number)));
    return Made;
  }

  json::object query(const std::string &Path) {
    admin_client Client = client();
    return Client.call({"GET", Path, {}, {}, {}});
  }

  //! Resends each change and expects the version first returned for it.
  void expectPreserved(const std::vector<acknowledged_change> &Changes) {
    admin_client Client = client();
    for (const acknowledged_change &Each : Changes)
      EXPECT_EQ(change(Client, Each.OperationId).Version, Each.Version)
          << Each.OperationId;
    const json::object Status = query("/v1/status");
    EXPECT_GE(Status.at("version").to_number<std::uint64_t>(),
              Changes.back().Version);
  }

  //! Answer of one control host, without a search for the leader.
  static http_answer queryAddress(const std::string &Address,
                                  const std::string &Path) {
    return call(Address,
                {"GET",
                 Path,
                 {{"Authorization", fmt::format("Bearer {}", Credential)}},
                 {},
                 seconds(3)});
  }

  http_answer queryHost(const std::string &Id, const std::string &Path) {
    return queryAddress(
        std::string(Group->at(Id).Description.at("admin_address").as_string()),
        Path);
  }

  std::string leader() {
    std::string Found;
    const bool Known = waitUntil(
        [&] {
          for (const std::string Id : {"c1", "c2", "c3"}) {
            if (!Group->at(Id).Process->running())
              continue;
            const http_answer Answer = queryHost(Id, "/v1/control-hosts");
            if (Answer.Status != 200)
              continue;
            const json::object Status = json::parse(Answer.Body).as_object();
            if (Status.at("leading").as_bool())
              Found = Id;
          }
          return !Found.empty();
        },
        seconds(10));
    EXPECT_TRUE(Known);
    return Found;
  }

  //! Whether a leader reports exactly \p Voters and no learner.
  bool votersAre(const std::set<std::string> &Voters) {
    for (const std::string &Address : addresses()) {
      const http_answer Answer = queryAddress(Address, "/v1/control-hosts");
      if (Answer.Status != 200)
        continue;
      const json::object Hosts = json::parse(Answer.Body).as_object();
      std::set<std::string> Found;
      for (const auto &Member : Hosts.at("members").as_array())
        Found.insert(Member.at("voter").as_bool()
                         ? std::string(Member.at("host_id").as_string())
                         : "a learner");
      if (Hosts.at("leading").as_bool() && Found == Voters)
        return true;
    }
    return false;
  }

  //! Starts a host that is not an initial member; returns its inner address.
  //! Its settings are those of c1 but for \p Changed.
  std::string startAdditionalHost(const std::string &Id,
                                  const json::object &Changed = {}) {
    const auto Folder = Group->folder();
    json::object Settings =
        json::parse(readFile((Folder / "c1.json").string())).as_object();
    Settings["host_id"] = Id;
    Settings["peer_address"] = fmt::format("127.0.0.1:{}", freePort());
    Settings["data_folder"] = (Folder / (Id + ".data")).string();
    for (const auto &Field : Changed)
      Settings[Field.key()] = Field.value();
    const auto File = Folder / (Id + ".json");
    std::ofstream(File) << json::serialize(Settings);
    return launchAdditionalHost(Id);
  }

  //! Starts an additional host with the settings it has.
  std::string launchAdditionalHost(const std::string &Id) {
    const auto Folder = Group->folder();
    const auto File = Folder / (Id + ".json");
    const auto Ready = Folder / (Id + ".ready");
    std::filesystem::remove(Ready);
    Added = std::make_unique<child_process>(
        Group->at("c1").Program,
        std::vector<std::string>{"--settings=" + File.string(),
                                 "--ready-file=" + Ready.string()},
        (Folder / (Id + ".log")).string());
    EXPECT_TRUE(
        waitUntil([&] { return std::filesystem::exists(Ready); }, seconds(10)));
    const json::object Description =
        json::parse(readFile(Ready.string())).as_object();
    AddedAddress = Description.at("admin_address").as_string();
    return std::string(Description.at("peer_address").as_string());
  }

  //! The next start is not the first of the system, so the host may found no
  //! group then.
  void emptyDataFolder(const std::string &Id) {
    std::filesystem::remove_all(Group->folder() / (Id + ".data"));
    changeSettings(Id, {{"may_found", false}});
  }

  //! Changes fields in the settings of \p Id for its next start.
  void changeSettings(const std::string &Id, const json::object &Fields) {
    const std::string &File = Group->at(Id).SettingsFile;
    json::object Settings = json::parse(readFile(File)).as_object();
    for (const auto &Field : Fields)
      Settings[Field.key()] = Field.value();
    std::ofstream(File) << json::serialize(Settings);
  }

  std::unique_ptr<deployment> Group;
  std::unique_ptr<child_process> Added;
  std::string AddedAddress;
};

TEST_F(control_group, keeps_acknowledged_changes_when_the_leader_is_killed) {
  std::vector<acknowledged_change> Made;
  std::atomic<int> Count = 0;
  admin_client Client = client();
  const std::string Leader = leader();
  std::thread Stream([&] {
    for (int Number = 0; Number < 100; ++Number) {
      Made.push_back(change(Client, fmt::format("t{}", Number)));
      ++Count;
    }
  });
  EXPECT_TRUE(waitUntil([&] { return Count >= 30; }, seconds(20)));
  Group->at(Leader).Process->kill();
  Stream.join();
  EXPECT_EQ(Made.size(), 100U);
  Group->restart(Leader);
  expectPreserved(Made);
}

TEST_F(control_group, a_leader_that_was_paused_does_not_answer_as_leader) {
  const std::string Old = leader();
  Group->at(Old).Process->pause();
  std::string New;
  EXPECT_TRUE(waitUntil(
      [&] {
        for (const std::string Id : {"c1", "c2", "c3"}) {
          if (Id == Old)
            continue;
          const http_answer Answer = queryHost(Id, "/v1/rules");
          if (Answer.Status == 200)
            New = Id;
        }
        return !New.empty();
      },
      seconds(10)));
  const auto Made = makeChanges("after", 3, Old);
  Group->at(Old).Process->resume();
  for (int Attempt = 0; Attempt < 20; ++Attempt) {
    const http_answer Answer = queryHost(Old, "/v1/rules");
    EXPECT_NE(Answer.Status, 200) << Answer.Body;
  }
  expectPreserved(Made);
}

TEST_F(control_group, keeps_its_state_when_all_restart_after_many_changes) {
  const auto Made = makeChanges("t", 300);
  for (const std::string Id : {"c1", "c2", "c3"})
    Group->at(Id).Process->kill();
  for (const std::string Id : {"c1", "c2", "c3"})
    Group->restart(Id);
  expectPreserved(Made);
}

TEST_F(control_group, a_host_without_its_data_folder_does_not_vote_as_before) {
  const auto Made = makeChanges("t", 20);
  const std::string Leader = leader();
  const std::string Emptied = Leader == "c2" ? "c3" : "c2";
  const std::string Lost =
      Leader == "c1" ? (Emptied == "c2" ? "c3" : "c2") : "c1";
  Group->at(Lost).Process->kill();
  Group->at(Emptied).Process->kill();
  emptyDataFolder(Emptied);
  Group->restart(Emptied);
  const auto Leads = [&] {
    const http_answer Answer = queryHost(Leader, "/v1/rules");
    return Answer.Status == 200;
  };
  EXPECT_TRUE(waitUntil([&] { return !Leads(); }, seconds(2)));
  EXPECT_FALSE(waitUntil(Leads, seconds(3)));
  Group->restart(Lost);
  EXPECT_TRUE(waitUntil(
      [&] {
        return votersAre({"c1", "c2", "c3"});
      },
      seconds(10)));
  expectPreserved(Made);
}

TEST_F(control_group, loses_nothing_when_a_second_host_goes_after_a_repair) {
  auto Made = makeChanges("before", 30);
  const std::string First = leader();
  Group->at(First).Process->kill();
  const std::string Address = startAdditionalHost("c4");
  client().call(
      {"POST", "/v1/control-hosts",
       json::serialize(json::object{
           {"host_id", "c4"}, {"address", Address}, {"replaces", First}}),
       "replace", std::nullopt});
  std::set<std::string> Voters{"c1", "c2", "c3", "c4"};
  Voters.erase(First);
  EXPECT_TRUE(waitUntil([&] { return votersAre(Voters); }, seconds(10)));
  const auto During = makeChanges("between", 10);
  Made.insert(Made.end(), During.begin(), During.end());
  Group->at(First == "c2" ? "c3" : "c2").Process->kill();
  expectPreserved(Made);
  makeChanges("after", 5);
}

TEST_F(control_group, an_emptied_host_founds_no_second_group_with_a_blank_one) {
  const auto Made = makeChanges("before", 5);
  const std::string Address = startAdditionalHost("c4");
  Group->killTogether({"c1", "c2", "c3"});
  emptyDataFolder("c1");
  // The list of members that a host is given may change from start to start.
  const auto OwnAddress = Group->at("c1").Description.at("peer_address");
  changeSettings(
      "c1", {{"members",
              json::array{json::object{{"id", "c1"}, {"address", OwnAddress}},
                          json::object{{"id", "c4"}, {"address", Address}}}}});
  Group->restart("c1");
  const auto Founded = [&] {
    const http_answer Answer = queryHost("c1", "/v1/control-hosts");
    return Answer.Status == 200 && !json::parse(Answer.Body)
                                        .as_object()
                                        .at("members")
                                        .as_array()
                                        .empty();
  };
  EXPECT_FALSE(waitUntil(Founded, seconds(2)));
  Group->restart("c2");
  Group->restart("c3");
  EXPECT_TRUE(waitUntil(
      [&] {
        return votersAre({"c1", "c2", "c3"});
      },
      seconds(10)));
  expectPreserved(Made);
}

class isolated_control_host : public control_group,
                              public testing::WithParamInterface<cut_kind> {
protected:
  void SetUp() override { start(true); }
};

TEST_P(isolated_control_host, neither_answers_as_leader_nor_disturbs) {
  const std::string Old = leader();
  auto Made = makeChanges("before", 5);
  Group->links().cutMember(Old, GetParam());
  const auto Cut = makeChanges("cut", 5, Old);
  Made.insert(Made.end(), Cut.begin(), Cut.end());
  EXPECT_NE(queryHost(Old, "/v1/rules").Status, 200);
  const std::string New = leader();
  EXPECT_NE(New, Old);
  Group->links().heal();
  EXPECT_TRUE(waitUntil(
      [&] {
        const http_answer Answer = queryHost(Old, "/v1/control-hosts");
        return Answer.Status == 200 &&
               json::parse(Answer.Body).as_object().at("leader").as_string() ==
                   New;
      },
      seconds(10)));
  EXPECT_EQ(leader(), New);
  expectPreserved(Made);
}

INSTANTIATE_TEST_SUITE_P(each_kind, isolated_control_host,
                         testing::Values(cut_kind::Silent, cut_kind::Reset));

//! Callers that write to many keys, one thread for each entry host.
class keyed_callers {
public:
  keyed_callers(const std::vector<std::string> &Addresses,
                const std::string &ApiKey) {
    for (const std::string &Address : Addresses)
      Threads.emplace_back([this, Address, ApiKey] {
        for (int Number = 0; !Stopping; Number = (Number + 1) % Keys)
          send(Address, ApiKey, Number);
      });
  }
  ~keyed_callers() { stop(); }

  void stop() {
    Stopping = true;
    for (std::thread &Thread : Threads)
      if (Thread.joinable())
        Thread.join();
  }

  //! Returns whether the request was served.
  static bool send(const std::string &Address, const std::string &ApiKey,
                   int Number) {
    const http_answer Answer =
        call(Address, {"POST",
                       fmt::format("/reports/k{}", Number),
                       {{"Authorization", "Bearer " + ApiKey}},
                       "x",
                       seconds(2)});
    return Answer.Status == 200;
  }

  static constexpr int Keys = 60;

private:
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
};

//! The day ends: all control hosts and entry hosts are killed at once, and one
//! control host loses its disk.
class day_ending_of_all_hosts : public control_group,
                                public testing::WithParamInterface<bool> {
protected:
  // As in ownership_test.cpp.
  static constexpr std::int64_t FencedLimitUs = 1'000'000;
  static constexpr std::int64_t DeadlineUs = 2'000'000;
  static constexpr seconds MaxRecoveryTime{15};

  void SetUp() override {
    deployment_plan Plan;
    Plan.ControlHosts = 3;
    Plan.FailureDomains = {"a", "b", "c"};
    for (const std::string Domain : {"a", "b", "c"}) {
      Plan.Targets.push_back(
          {"checks-" + Domain, "archive", Domain, {"--checks-fence"}});
      Plan.Targets.push_back({"trusts-" + Domain, "archive", Domain, {}});
    }
    Group = deployment::builder().withPlan(Plan).build();
    const auto Issued = Group->ctl({"--wait", "key", "issue", "large"});
    ASSERT_EQ(Issued.ExitCode, 0) << Issued.Output;
    ApiKey = std::string(
        json::parse(Issued.Output).as_object().at("key").as_string());
  }

  std::vector<std::string> hosts() {
    std::vector<std::string> Ids;
    for (const std::string Role : {"control", "entry"})
      for (const member *Host : Group->membersOf(Role))
        Ids.push_back(Host->Id);
    return Ids;
  }

  //! Kills all hosts, empties the folder of \p Emptied and starts all again.
  void endDay(const std::string &Emptied) {
    const std::vector<std::string> Ids = hosts();
    Group->killTogether(Ids);
    emptyDataFolder(Emptied);
    for (const std::string &Id : Ids)
      Group->restart(Id);
  }

  //! Returns whether each key was served through each entry host.
  bool allKeysServed() {
    for (const std::string &Address : Group->callerAddresses())
      for (int Number = 0; Number < keyed_callers::Keys; ++Number)
        if (!keyed_callers::send(Address, ApiKey, Number))
          return false;
    return true;
  }

  void expectSingleOwner() {
    std::vector<execution> All;
    for (const member *Target : Group->membersOf("target"))
      for (execution &Each : readJournal(Group->journalOf(Target->Id)))
        All.push_back(std::move(Each));
    EXPECT_FALSE(All.empty());
    const auto Violations =
        findOwnershipViolations(std::move(All), [](std::string_view Id) {
          return Id.starts_with("checks-") ? FencedLimitUs : DeadlineUs;
        });
    EXPECT_TRUE(Violations.empty())
        << Violations.size() << " findings, first: " << Violations.front();
  }

  std::string ApiKey;
};

TEST_P(day_ending_of_all_hosts, keeps_what_was_acknowledged_and_owners_apart) {
  keyed_callers Callers(Group->callerAddresses(), ApiKey);
  auto Made = makeChanges("before", 20);
  const std::string Leader = leader();
  const std::string Follower = Leader == "c1" ? "c2" : "c1";
  Made.push_back(makeChanges("last", 1).front());
  endDay(GetParam() ? Leader : Follower);
  const auto Returned = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitUntil([this] { return allKeysServed(); }, MaxRecoveryTime));
  const auto Time = std::chrono::steady_clock::now() - Returned;
  RecordProperty("recovery_ms", std::to_string(Time / milliseconds(1)));
  EXPECT_LE(Time, MaxRecoveryTime);
  const json::object Status = query("/v1/status");
  EXPECT_EQ(Status.at("failure_domains_out"), json::array{"a"});
  EXPECT_TRUE(waitUntil(
      [&] {
        return votersAre({"c1", "c2", "c3"});
      },
      MaxRecoveryTime));
  expectPreserved(Made);
  Callers.stop();
  expectSingleOwner();
}

INSTANTIATE_TEST_SUITE_P(table, day_ending_of_all_hosts, testing::Bool(),
                         [](const auto &Info) {
                           return std::string(Info.param
                                                  ? "leader_loses_its_disk"
                                                  : "follower_loses_its_disk");
                         });

//! A new control host must be a voter this long after its start.
constexpr seconds CatchUpTime{4};

TEST_F(control_group, has_a_majority_when_a_disk_is_lost_after_a_replacement) {
  auto Made = makeChanges("before", 20);
  startAdditionalHost("c4", {{"may_found", false}});
  Group->at("c1").Process->kill();
  EXPECT_TRUE(waitUntil(
      [&] {
        return votersAre({"c2", "c3", "c4"});
      },
      CatchUpTime));
  const auto After = makeChanges("replaced", 5);
  Made.insert(Made.end(), After.begin(), After.end());
  Group->killTogether({"c2", "c3"});
  Added->kill();
  emptyDataFolder("c2");
  Group->restart("c3");
  Group->restart("c2");
  launchAdditionalHost("c4");
  EXPECT_TRUE(waitUntil(
      [&] {
        return votersAre({"c2", "c3", "c4"});
      },
      seconds(10)));
  expectPreserved(Made);
}

// The first start of the system gives the right to all control hosts, also to
// those beyond the seeds.
TEST_F(control_group,
       takes_in_a_host_with_the_right_to_found_that_is_no_founder) {
  startAdditionalHost("c4", {{"may_found", true}});
  EXPECT_TRUE(waitUntil(
      [&] {
        return votersAre({"c1", "c2", "c3", "a learner"});
      },
      CatchUpTime));
  std::this_thread::sleep_for(seconds(1));
  EXPECT_TRUE(votersAre({"c1", "c2", "c3", "a learner"}));
  Group->at("c1").Process->kill();
  EXPECT_TRUE(waitUntil(
      [&] {
        return votersAre({"c2", "c3", "c4"});
      },
      CatchUpTime));
  EXPECT_FALSE(makeChanges("after", 1).empty());
}

} // namespace
} // namespace pomelo::emulator
