#include "emulator/deployment.hpp"
#include "pomeloswitch/cli/admin_client.hpp"
#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace pomelo::emulator {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view Credential = "operator-credential";

//! The operation id of a change and the version that it was answered with.
struct acknowledged_change {
  std::string OperationId;
  std::uint64_t Version = 0;
};

class control_group : public testing::Test {
protected:
  void SetUp() override {
    deployment_plan Plan;
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

  std::vector<acknowledged_change> makeChanges(const std::string &Series,
                                               int Count) {
    std::vector<acknowledged_change> Made;
    admin_client Client(Group->adminAddresses(), std::string(Credential));
    for (int Number = 0; Number < Count; ++Number)
      Made.push_back(change(Client, fmt::format("{}-{}", Series, Number)));
    return Made;
  }

  json::object ask(const std::string &Path) {
    admin_client Client(Group->adminAddresses(), std::string(Credential));
    return Client.call({"GET", Path, {}, {}, {}});
  }

  void expectKept(const std::vector<acknowledged_change> &Changes) {
    admin_client Client(Group->adminAddresses(), std::string(Credential));
    for (const acknowledged_change &Each : Changes)
      EXPECT_EQ(change(Client, Each.OperationId).Version, Each.Version)
          << Each.OperationId;
    const json::object Status = ask("/v1/status");
    EXPECT_GE(Status.at("version").to_number<std::uint64_t>(),
              Changes.back().Version);
  }

  //! The answer of one control host alone, without a search for the leader.
  http_answer askHost(const std::string &Id, const std::string &Path) {
    const std::string Address(
        Group->at(Id).Description.at("admin_address").as_string());
    return call(Address,
                {"GET",
                 Path,
                 {{"Authorization", fmt::format("Bearer {}", Credential)}},
                 {},
                 seconds(3)});
  }

  std::string leader() {
    std::string Found;
    const bool Known = waitUntil(
        [&] {
          for (const std::string Id : {"c1", "c2", "c3"}) {
            if (!Group->at(Id).Process->running())
              continue;
            const http_answer Answer = askHost(Id, "/v1/status");
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

  std::unique_ptr<deployment> Group;
};

TEST_F(control_group, keeps_acknowledged_changes_when_the_leader_is_killed) {
  std::vector<acknowledged_change> Made;
  std::atomic<int> Count = 0;
  admin_client Client(Group->adminAddresses(), std::string(Credential));
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
  expectKept(Made);
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
          const http_answer Answer = askHost(Id, "/v1/rules");
          if (Answer.Status == 200)
            New = Id;
        }
        return !New.empty();
      },
      seconds(10)));
  const auto Made = makeChanges("after", 3);
  Group->at(Old).Process->resume();
  for (int Try = 0; Try < 20; ++Try) {
    const http_answer Answer = askHost(Old, "/v1/rules");
    EXPECT_NE(Answer.Status, 200) << Answer.Body;
  }
  expectKept(Made);
}

TEST_F(control_group, keeps_its_state_when_all_restart_after_many_changes) {
  const auto Made = makeChanges("t", 300);
  for (const std::string Id : {"c1", "c2", "c3"})
    Group->at(Id).Process->kill();
  for (const std::string Id : {"c1", "c2", "c3"})
    Group->restart(Id);
  expectKept(Made);
}

} // namespace
} // namespace pomelo::emulator
