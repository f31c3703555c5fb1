//! Operators' changes that other hosts send to the leader and that arrive late.
#include "pomeloswitch/control/control_host.hpp"

#include "control/idle_log.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace pomelo {
namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr const char *Secret = "secret of this test only";
constexpr leader_stamp Latest{7, nanoseconds(seconds(100)).count()};

struct late_change_case {
  std::string Name;
  std::uint64_t Term;
  milliseconds StampAge;
  bool CarriedOut;
};

void PrintTo(const late_change_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

wire::envelope makeDrain(const std::string &Domain, std::uint64_t Term,
                         milliseconds StampAge) {
  wire::envelope Message;
  auto *Proposal = Message.mutable_proposal();
  Proposal->mutable_command()->mutable_set_drain()->set_name(Domain);
  Proposal->mutable_leader_stamp()->set_term(Term);
  Proposal->mutable_leader_stamp()->set_sent_at(Latest.SentAt -
                                                nanoseconds(StampAge).count());
  return Message;
}

class late_change : public testing::TestWithParam<late_change_case> {
protected:
  late_change() {
    auto GivenLog = std::make_unique<idle_log>();
    Log = GivenLog.get();
    Log->Leads = true;
    Log->Stamp = Latest;
    control_settings Settings;
    Settings.HostId = "c1";
    Settings.PeerAddress = Settings.AdminAddress = "127.0.0.1:0";
    Settings.ClusterSecret = Secret;
    Leader = control_host::builder()
                 .withIo(Io)
                 .withSettings(std::move(Settings))
                 .withLog(std::move(GivenLog))
                 .build();
    Leader->start();
  }

  //! Sends the messages over one link and runs until the leader has proposed
  //! the change to \p Last.
  void sendUntilProposed(const std::vector<wire::envelope> &Messages,
                         const std::string &Last) {
    const auto Address =
        boost::json::parse(Leader->describe()).at("peer_address").as_string();
    peer_link::handlers Handlers;
    Handlers.OnOpen = [&Messages](const std::shared_ptr<peer_link> &Link) {
      for (const wire::envelope &Message : Messages)
        Link->send(Message);
    };
    Handlers.OnMessage = [](const std::shared_ptr<peer_link> &,
                            const wire::envelope &) {};
    Handlers.OnClose = [](const std::shared_ptr<peer_link> &) {};
    peer_dialer Dialer(Io, parseEndpoint(std::string(Address)), Secret,
                       Handlers);
    Dialer.start();
    const auto Deadline = std::chrono::steady_clock::now() + seconds(5);
    while (!proposed(Last) && std::chrono::steady_clock::now() < Deadline)
      Io.run_one_for(seconds(1));
    Dialer.stop();
    Leader->stop();
    Io.run_for(milliseconds(50));
  }

  [[nodiscard]] bool proposed(const std::string &Domain) const {
    return std::any_of(Log->Proposed.begin(), Log->Proposed.end(),
                       [&Domain](const std::string &Bytes) {
                         wire::command Command;
                         return Command.ParseFromString(Bytes) &&
                                Command.set_drain().name() == Domain;
                       });
  }

  boost::asio::io_context Io;
  idle_log *Log = nullptr;
  std::unique_ptr<control_host> Leader;
};

// Guards against an order that arrives seconds after its caller was told that
// it was not carried out, and undoes newer ones (EVAC, review/7).
TEST_P(late_change, is_not_carried_out) {
  sendUntilProposed({makeDrain("late", GetParam().Term, GetParam().StampAge),
                     makeDrain("last", Latest.Term, milliseconds(0))},
                    "last");
  EXPECT_TRUE(proposed("last"));
  EXPECT_EQ(proposed("late"), GetParam().CarriedOut);
}

INSTANTIATE_TEST_SUITE_P(
    table, late_change,
    testing::Values(
        late_change_case{"at_once", Latest.Term, milliseconds(1), true},
        late_change_case{"soon", Latest.Term, milliseconds(500), true},
        late_change_case{"when_its_caller_has_given_up", Latest.Term,
                         ChangePatience, false},
        late_change_case{"seconds_later", Latest.Term, milliseconds(4500),
                         false},
        late_change_case{"from_an_earlier_term", Latest.Term - 1,
                         milliseconds(1), false},
        late_change_case{"without_a_stamp", 0, milliseconds(0), false}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
