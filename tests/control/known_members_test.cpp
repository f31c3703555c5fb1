//! Which heartbeats are answered with the members of the control group.
#include "control/control_host_fixture.hpp"
#include "pomeloswitch/wire/peer_link.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <optional>

namespace pomelo {
namespace {

constexpr std::chrono::milliseconds Interval{20};

class known_members : public control_host_fixture {
protected:
  known_members() {
    peer_link::handlers Handlers;
    Handlers.OnOpen = [](const std::shared_ptr<peer_link> &) {};
    Handlers.OnMessage = [this](const std::shared_ptr<peer_link> &,
                                const wire::envelope &Message) {
      if (Message.heartbeat_ack().sequence() == Sequence)
        Answer = Message.heartbeat_ack();
    };
    Handlers.OnClose = [](const std::shared_ptr<peer_link> &) {};
    Dialer = std::make_unique<peer_dialer>(Io, parseEndpoint(peerAddress()),
                                           Secret, std::move(Handlers));
    Dialer->start();
    EXPECT_TRUE(runUntil([this] { return Dialer->open(); }));
  }
  ~known_members() override {
    Dialer->stop();
    Control->stop();
    Io.run_for(std::chrono::milliseconds(100));
  }

  //! Sends heartbeats until one is answered; a host that has not joined yet
  //! gets no answer.
  wire::heartbeat_ack answerTo(std::uint64_t MembersHash) {
    Answer.reset();
    wire::envelope Message;
    Message.mutable_heartbeat()->set_sequence(++Sequence);
    Message.mutable_heartbeat()->set_host_id("e1");
    Message.mutable_heartbeat()->set_members_hash(MembersHash);
    std::chrono::steady_clock::time_point SentAt{};
    EXPECT_TRUE(runUntil([&] {
      const auto Now = std::chrono::steady_clock::now();
      if (!Answer && Now - SentAt >= Interval) {
        Dialer->send(Message);
        SentAt = Now;
      }
      return Answer.has_value();
    }));
    return Answer.value_or(wire::heartbeat_ack());
  }

  std::uint64_t Sequence = 0;
  std::optional<wire::heartbeat_ack> Answer; //!< To that heartbeat.
  std::unique_ptr<peer_dialer> Dialer;
};

TEST_F(known_members, are_told_to_a_host_until_it_knows_them) {
  // The members are known from the first tick on.
  ASSERT_TRUE(runUntil([this] { return answerTo(0).members_hash() != 0; }));
  const wire::heartbeat_ack First = answerTo(0);
  ASSERT_EQ(First.control_hosts_size(), 1);
  EXPECT_EQ(First.control_hosts(0).id(), "c1");
  EXPECT_EQ(answerTo(First.members_hash()).control_hosts_size(), 0);
  EXPECT_EQ(answerTo(First.members_hash() + 1).control_hosts_size(), 1);
}

} // namespace
} // namespace pomelo
