#include "pomeloswitch/control/control_host.hpp"

#include "control/idle_log.hpp"
#include "pomeloswitch/raft/local_log.hpp"
#include "pomeloswitch_wire/inner.pb.h"
#include "state/state_fixture.hpp"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <vector>

namespace pomelo {
namespace {

using std::chrono::seconds;

constexpr const char *Secret = "secret of this test only";

class forwarded_reports : public testing::Test {
protected:
  forwarded_reports() {
    auto Log = std::make_unique<idle_log>();
    FollowerLog = Log.get();
    Follower = makeHost(std::move(Log));
    Target = testTarget("t1", 7, true, 4001);
    Target.StartedMs = 7;
    Target.OrderedByCall = true;
  }

  std::unique_ptr<control_host> makeHost(std::unique_ptr<replicated_log> Log) {
    control_settings Settings;
    Settings.HostId = "c1";
    Settings.PeerAddress = Settings.AdminAddress = "127.0.0.1:0";
    Settings.ClusterSecret = Secret;
    auto Host = control_host::builder()
                    .withIo(Io)
                    .withSettings(std::move(Settings))
                    .withLog(std::move(Log))
                    .build();
    Host->start();
    return Host;
  }

  target_status report(std::uint64_t Sequence) const {
    target_status Status;
    Status.Announced = Target;
    Status.Sequence = Sequence;
    return Status;
  }

  template <typename Predicate> bool runUntil(Predicate Condition) {
    const auto Deadline = std::chrono::steady_clock::now() + seconds(5);
    while (!Condition() && std::chrono::steady_clock::now() < Deadline)
      Io.run_one_for(seconds(1));
    return Condition();
  }

  boost::asio::io_context Io;
  idle_log *FollowerLog = nullptr;
  std::unique_ptr<control_host> Follower;
  target_member Target;
};

TEST_F(forwarded_reports, share_a_message_that_tells_the_latest_of_each) {
  EXPECT_TRUE(Follower->targetHeard(report(1)));
  EXPECT_TRUE(Follower->targetHeard(report(2)));
  ASSERT_TRUE(runUntil([this] { return !FollowerLog->Sent.empty(); }));
  const auto &Reports = FollowerLog->Sent.front().forwarded_reports().reports();
  ASSERT_EQ(Reports.size(), 1);
  EXPECT_EQ(Reports[0].sequence(), 2U);
  EXPECT_EQ(Reports[0].target().target_id(), "t1");
  EXPECT_EQ(Reports[0].target().started_unix_ms(), 7U);
}

TEST_F(forwarded_reports, are_not_acknowledged_without_a_leader) {
  FollowerLog->Reachable = false;
  EXPECT_FALSE(Follower->targetHeard(report(1)));
}

// What a target may count on once this is acknowledged must be committed.
TEST_F(forwarded_reports, are_not_acknowledged_for_a_target_that_is_leaving) {
  Target.Leaving = true;
  EXPECT_FALSE(Follower->targetHeard(report(1)));
}

TEST_F(forwarded_reports, make_their_target_a_member) {
  EXPECT_TRUE(Follower->targetHeard(report(1)));
  ASSERT_TRUE(runUntil([this] { return !FollowerLog->Sent.empty(); }));
  const auto Leader = makeHost(std::make_unique<local_log>("c2"));
  wire::command Command;
  Command.mutable_set_inventory()->set_json(testInventory(4));
  Leader->proposeChange(Command, [](const apply_result &Result, auto) {
    EXPECT_TRUE(Result.accepted());
  });
  const auto Address =
      boost::json::parse(Leader->describe()).at("peer_address").as_string();
  peer_link::handlers Handlers;
  Handlers.OnOpen = [this](const std::shared_ptr<peer_link> &Link) {
    Link->send(FollowerLog->Sent.front());
  };
  Handlers.OnMessage = [](const std::shared_ptr<peer_link> &,
                          const wire::envelope &) {};
  Handlers.OnClose = [](const std::shared_ptr<peer_link> &) {};
  peer_dialer Dialer(Io, parseEndpoint(std::string(Address)), Secret, Handlers);
  Dialer.start();
  EXPECT_TRUE(
      runUntil([&] { return Leader->state().targets().contains("t1"); }));
  Dialer.stop();
  Leader->stop();
  Follower->stop();
}

} // namespace
} // namespace pomelo
