//! Operators' calls that reach a control host that does not lead.
#include "platform/control_api.hpp"

#include "control/idle_log.hpp"
#include "state/state_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

#include <exception>
#include <optional>
#include <thread>

namespace pomelo::platform {
namespace {

namespace http = boost::beast::http;

class forwarded_change : public testing::Test {
protected:
  forwarded_change() {
    auto GivenLog = std::make_unique<idle_log>();
    Log = GivenLog.get();
    control_settings Settings;
    Settings.HostId = "127.0.0.1:1";
    Settings.PeerAddress = Settings.AdminAddress = "127.0.0.1:0";
    Settings.ClusterSecret = "secret of this test only";
    Settings.Adapter = R"({"failure_domains": {"a": "r"}})";
    Host = control_host::builder()
               .withIo(Io)
               .withSettings(std::move(Settings))
               .withLog(std::move(GivenLog))
               .build();
    Host->start();
    Api.emplace(Io, *Host);
    wire::command Inventory;
    Inventory.mutable_set_inventory()->set_json(testInventory(4));
    Log->Applier.OnCommitted({++Index, Inventory.SerializeAsString()});
  }
  ~forwarded_change() override {
    Host->stop();
    Io.run_for(std::chrono::milliseconds(100));
  }

  //! Begins an evacuation of the domain and runs until it is forwarded, if it
  //! is.
  void post(const std::string &Domain) {
    Request = text_request(http::verb::post,
                           "/pomeloswitch/Evacuation.Start/" + Domain, 11);
    boost::asio::co_spawn(
        Io, Api->handle(Request),
        [this](const std::exception_ptr &Thrown, const text_response &Answer) {
          Failure = Thrown;
          Status = Answer.result_int();
          Ended = true;
        });
    while (!Ended && Log->Sent.empty())
      Io.run_one();
  }

  //! Commits what was sent to the leader.
  void commit() {
    const wire::command &Command = Log->Sent.back().proposal().command();
    Log->Applier.OnCommitted({++Index, Command.SerializeAsString()});
    while (!Ended)
      Io.run_one();
  }

  boost::asio::io_context Io;
  idle_log *Log = nullptr;
  std::unique_ptr<control_host> Host;
  std::optional<control_api> Api;
  text_request Request; //!< Referred to until its call has ended.
  std::uint64_t Index = 0;
  bool Ended = false;
  unsigned Status = 0;
  std::exception_ptr Failure;
};

// Guards against a change without confirmation while the leader is well: with a
// redirection two responses have to arrive, and where responses are lost that
// takes longer than operators wait (the gate of sj-gateway-now-grown
// trouble-1).
TEST_F(forwarded_change, is_confirmed_once_it_is_committed) {
  post("a");
  ASSERT_EQ(Log->Sent.size(), 1U);
  EXPECT_FALSE(Ended);
  commit();
  EXPECT_FALSE(Failure);
  EXPECT_EQ(Status, 200U);
  EXPECT_TRUE(Host->state().drainedDomains().contains("a"));
}

TEST_F(forwarded_change, bears_the_stamp_of_the_leaders_latest_message) {
  Log->Stamp = {7, 1234};
  post("a");
  ASSERT_EQ(Log->Sent.size(), 1U);
  EXPECT_EQ(Log->Sent[0].proposal().leader_stamp().term(), 7U);
  EXPECT_EQ(Log->Sent[0].proposal().leader_stamp().sent_at(), 1234U);
}

// Guards against an order that lay unread while this process was stopped and
// undoes newer ones (EVAC, review/7 with VARIANT=freeze).
TEST_F(forwarded_change, is_not_sent_if_it_may_have_waited_unread) {
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  post("a");
  EXPECT_TRUE(Failure);
  EXPECT_TRUE(Log->Sent.empty());
  Io.run_for(std::chrono::milliseconds(300));
  Ended = false;
  post("a");
  EXPECT_EQ(Log->Sent.size(), 1U);
}

TEST_F(forwarded_change, is_refused_as_by_the_leader) {
  post("unknown");
  commit();
  EXPECT_TRUE(Failure);
}

TEST_F(forwarded_change, is_redirected_if_the_leader_is_out_of_reach) {
  Log->Reachable = false;
  post("a");
  EXPECT_TRUE(Ended);
  EXPECT_EQ(Status, 307U);
}

} // namespace
} // namespace pomelo::platform
