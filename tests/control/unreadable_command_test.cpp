//! Commands in the log that cannot be read, and changes that would write one.
#include "control/control_host_fixture.hpp"
#include "pomeloswitch/entry/control_session.hpp"
#include "pomeloswitch/entry/replicated_records.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <optional>

namespace pomelo {
namespace {

wire::command makeDrain(const std::string &FailureDomain) {
  wire::command Command;
  Command.mutable_set_drain()->set_name(FailureDomain);
  Command.mutable_set_drain()->set_out(true);
  return Command;
}

wire::command makeTarget(const std::string &Id) {
  wire::command Command;
  Command.mutable_target_joined()->set_target_id(Id);
  Command.mutable_target_joined()->set_incarnation(1);
  Command.mutable_target_joined()->set_address("127.0.0.1:4001");
  return Command;
}

class unreadable_fixture : public control_host_fixture {
protected:
  //! Appends \p Bytes whatever they are, as another version might.
  void append(const std::string &Bytes) {
    Control->log().propose(Bytes, [](const proposal_outcome &) {});
  }

  std::unique_ptr<control_session> startSession() {
    Settings.HostId = "e1";
    Settings.ClusterSecret = Secret;
    Settings.ControlHosts = {{"c1", peerAddress()}};
    control_session::callbacks Callbacks;
    Callbacks.OnState = [](const cluster_state &) {};
    Callbacks.OldestAdopted = [] { return adopted_state(); };
    Callbacks.QuiescedIndex = [] { return std::uint64_t(0); };
    Callbacks.AddQuota = Callbacks.AddLoads = [](wire::heartbeat &) {};
    Callbacks.OnQuota = [](const wire::heartbeat_ack &, lease_time) {};
    Callbacks.AddTokenReport = [](wire::quota_report &) {};
    Callbacks.OnTokens = [](const wire::token_answer &) {};
    Callbacks.OnLease = [](lease_time) {};
    Callbacks.OnOutdated = [] {};
    Callbacks.OnAck = [](const wire::heartbeat_ack &) {};
    auto Session = std::make_unique<control_session>(Io, Settings, 1,
                                                     std::move(Callbacks));
    Session->start();
    return Session;
  }
  void stop(control_session &Session) {
    Session.stop();
    Control->stop();
    Io.run_for(std::chrono::milliseconds(100));
  }

  //! Expects that an entry host that starts now reads the state to its end.
  void expectEntryHostFollows() {
    const auto Session = startSession();
    EXPECT_TRUE(
        runUntil([&] { return Session->state().targets().contains("after"); }));
    stop(*Session);
  }

  entry_settings Settings;
};

struct unreadable_case {
  std::string Name;
  std::string Bytes;
};

void PrintTo(const unreadable_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class unreadable_command : public unreadable_fixture,
                           public testing::WithParamInterface<unreadable_case> {
};

TEST_P(unreadable_command, changes_nothing_and_ends_no_host_that_applies_it) {
  append(makeTarget("before").SerializeAsString());
  const std::uint64_t Before = Control->state().index();
  EXPECT_NO_THROW(append(GetParam().Bytes));
  EXPECT_NO_THROW(append(makeDrain("unknown").SerializeAsString()));
  auto After = makeTarget("after");
  After.mutable_target_joined()->set_address("127.0.0.1:4002");
  append(After.SerializeAsString());
  EXPECT_EQ(Control->state().index(), Before + 3);
  EXPECT_EQ(Control->state().targets().size(), 2U);
  expectEntryHostFollows();
}

INSTANTIATE_TEST_SUITE_P(
    each, unreadable_command,
    testing::Values(unreadable_case{"bytes", "\xff\xff\xff"},
                    unreadable_case{
                        "cut",
                        makeTarget("t1").SerializeAsString().substr(0, 9)},
                    unreadable_case{"domain_not_utf_8",
                                    makeDrain("\xff\xfe").SerializeAsString()},
                    unreadable_case{"target_not_utf_8",
                                    makeTarget("caf\xe9").SerializeAsString()}),
    [](const auto &Info) { return Info.param.Name; });

class unreadable_change : public unreadable_fixture,
                          public testing::WithParamInterface<unreadable_case> {
};

TEST_P(unreadable_change, is_refused_and_not_appended) {
  wire::command Command;
  Command.mutable_set_drain()->set_name(GetParam().Bytes);
  std::optional<apply_result> Result;
  Control->proposeChange(
      std::move(Command),
      [&](const apply_result &Done, std::uint64_t) { Result = Done; });
  ASSERT_TRUE(Result);
  EXPECT_EQ(Result->Refusal, error_kind::InvalidChange);
  EXPECT_EQ(Control->log().commitIndex(), 0U);
}

INSTANTIATE_TEST_SUITE_P(each, unreadable_change,
                         testing::Values(unreadable_case{"bytes", "\xff"},
                                         unreadable_case{"latin_1", "caf\xe9"},
                                         unreadable_case{"surrogate",
                                                         "\xed\xa0\x80"}),
                         [](const auto &Info) { return Info.param.Name; });

class unreadable_record : public unreadable_fixture {
protected:
  //! Claims a key for \p Account; returns the verdict, and None without one.
  claim_verdict claim(replicated_records &Records, const std::string &Account) {
    std::optional<claim_verdict> Verdict;
    Records.claim({Account, "key hash", "fingerprint", 0},
                  [&](const claim_reply &Reply) { Verdict = Reply.Verdict; });
    runUntil([&] { return Verdict.has_value(); });
    return Verdict.value_or(claim_verdict::None);
  }
};

// The leader closed the host's link, on which all of its requests depend.
TEST_F(unreadable_record, fails_alone) {
  const auto Session = startSession();
  replicated_records Records(Io, *Session, "e1", 1);
  EXPECT_EQ(claim(Records, "large"), claim_verdict::Granted);
  const auto Begun = std::chrono::steady_clock::now();
  EXPECT_EQ(claim(Records, "caf\xe9"), claim_verdict::None);
  EXPECT_LT(std::chrono::steady_clock::now() - Begun,
            std::chrono::milliseconds(500));
  EXPECT_TRUE(Records.idle());
  stop(*Session);
}

} // namespace
} // namespace pomelo
