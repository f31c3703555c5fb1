#include "pomeloswitch/state/claim_table.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

constexpr std::uint64_t Start = 1'000'000;

wire::claim_name nameOf(const std::string &Key, const std::string &Host,
                        std::uint64_t Number) {
  wire::claim_name Name;
  Name.set_account("large");
  Name.set_key_hash(Key);
  Name.set_host_id(Host);
  Name.set_incarnation(1);
  Name.set_number(Number);
  return Name;
}

class claims : public testing::Test {
protected:
  claim_table::result claim(const std::string &Key, const std::string &Host,
                            std::uint64_t Number, std::uint64_t Now = Start,
                            const std::string &Fingerprint = "same") {
    wire::claim_run Claim;
    *Claim.mutable_name() = nameOf(Key, Host, Number);
    Claim.set_fingerprint(Fingerprint);
    Claim.set_deadline_ms(Now + 2000);
    return Table.claim(Claim, Now, [this](std::string_view HostId, auto) {
      return HostId != LostHost;
    });
  }
  void finish(const std::string &Key, const std::string &Host,
              std::uint64_t Number, const std::string &Body) {
    wire::finish_claim Finish;
    *Finish.mutable_name() = nameOf(Key, Host, Number);
    Finish.mutable_answer()->set_status(201);
    Finish.mutable_answer()->set_body(Body);
    Finish.mutable_answer()->set_body_kept(true);
    Table.finish(Finish);
  }
  void finishUnknown(const std::string &Key, const std::string &Host,
                     std::uint64_t Number) {
    wire::finish_claim Finish;
    *Finish.mutable_name() = nameOf(Key, Host, Number);
    Table.finish(Finish);
  }
  void release(const std::string &Key, const std::string &Host,
               std::uint64_t Number) {
    wire::release_claim Release;
    *Release.mutable_name() = nameOf(Key, Host, Number);
    Table.release(Release, Start);
  }
  void passThroughSnapshot() {
    wire::state_snapshot Snapshot;
    Table.writeTo(Snapshot);
    Table = claim_table::readFrom(Snapshot);
  }

  std::string LostHost;
  claim_table Table;
};

//! Changes that follow the first claim (host a, number 1), a second claim and
//! its expected verdict.
struct repeat_case {
  std::string Name;
  std::function<void(claims &)> Arrange;
  std::string Host = "b";
  std::uint64_t Number = 1;
  std::uint64_t AfterMs = 10;
  claim_verdict Verdict = claim_verdict::None;
};

void PrintTo(const repeat_case &Case, std::ostream *Out) { *Out << Case.Name; }

class repeated_claim : public claims,
                       public testing::WithParamInterface<repeat_case> {
public:
  using claims::finish;
  using claims::finishUnknown;
  using claims::LostHost;
  using claims::release;
};

template <typename action> auto withFixture(action Action) {
  return [Action](claims &Claims) {
    Action(static_cast<repeated_claim &>(Claims));
  };
}

TEST_P(repeated_claim, is_answered_by_the_outcome_of_the_first) {
  const repeat_case &Case = GetParam();
  ASSERT_EQ(claim("k", "a", 1).Verdict, claim_verdict::Granted);
  Case.Arrange(*this);
  for (int Copy = 0; Copy < 2; ++Copy) {
    const auto Result =
        claim("k", Case.Host, Case.Number, Start + Case.AfterMs);
    EXPECT_EQ(Result.Verdict, Case.Verdict);
    if (Case.Verdict == claim_verdict::Finished) {
      EXPECT_EQ(Result.Answer->Body, "body");
    }
    passThroughSnapshot();
  }
}

INSTANTIATE_TEST_SUITE_P(
    each_outcome, repeated_claim,
    testing::Values(
        repeat_case{"proposed_twice", withFixture([](auto &) {}), "a", 1, 10,
                    claim_verdict::Granted},
        repeat_case{"in_progress", withFixture([](auto &) {}), "b", 1, 10,
                    claim_verdict::InProgress},
        repeat_case{"resent_through_the_same_host", withFixture([](auto &) {}),
                    "a", 2, 10, claim_verdict::InProgress},
        repeat_case{"finished",
                    withFixture([](auto &C) { C.finish("k", "a", 1, "body"); }),
                    "b", 1, 10, claim_verdict::Finished},
        repeat_case{"finished_long_ago",
                    withFixture([](auto &C) { C.finish("k", "a", 1, "body"); }),
                    "b", 1, 20 * 3600 * 1000, claim_verdict::Finished},
        repeat_case{"finished_by_another_host",
                    withFixture([](auto &C) { C.finish("k", "c", 1, "body"); }),
                    "b", 1, 10, claim_verdict::InProgress},
        repeat_case{"ended_unknown",
                    withFixture([](auto &C) { C.finishUnknown("k", "a", 1); }),
                    "b", 1, 10, claim_verdict::Unknown},
        repeat_case{"host_lost", withFixture([](auto &C) { C.LostHost = "a"; }),
                    "b", 1, 10, claim_verdict::Unknown},
        repeat_case{"end_never_reported", withFixture([](auto &) {}), "b", 1,
                    60000, claim_verdict::Unknown},
        repeat_case{"released",
                    withFixture([](auto &C) { C.release("k", "a", 1); }), "b",
                    1, 10, claim_verdict::Granted},
        repeat_case{"released_by_another_claim",
                    withFixture([](auto &C) { C.release("k", "a", 9); }), "b",
                    1, 10, claim_verdict::InProgress},
        repeat_case{"released_and_applied_late",
                    withFixture([](auto &C) { C.release("k", "a", 1); }), "a",
                    1, 10, claim_verdict::None}));

TEST_F(claims, a_claim_applied_after_its_release_is_not_granted) {
  release("k", "a", 1);
  passThroughSnapshot();
  EXPECT_EQ(claim("k", "a", 1).Verdict, claim_verdict::None);
  EXPECT_EQ(claim("k", "b", 1).Verdict, claim_verdict::Granted);
}

TEST_F(claims, a_different_request_under_the_same_key_is_detected) {
  claim("k", "a", 1);
  EXPECT_EQ(claim("k", "b", 1, Start, "other").Verdict,
            claim_verdict::KeyReused);
}

TEST_F(claims, a_finished_claim_cannot_be_released) {
  claim("k", "a", 1);
  finish("k", "a", 1, "body");
  release("k", "a", 1);
  EXPECT_EQ(claim("k", "b", 1).Verdict, claim_verdict::Finished);
}

TEST_F(claims, an_oversized_body_is_dropped_but_the_run_stays_known) {
  claim("k", "a", 1);
  finish("k", "a", 1, std::string(MaxKeptBodyBytes + 1, 'x'));
  const auto Result = claim("k", "b", 1);
  EXPECT_EQ(Result.Verdict, claim_verdict::Finished);
  EXPECT_FALSE(Result.Answer->BodyKept);
}

TEST_F(claims, are_bounded_and_forgotten_by_age) {
  Table = claim_table({10000, 1000, 4, 8});
  for (std::uint64_t Number = 1; Number <= 4; ++Number) {
    EXPECT_EQ(claim(std::to_string(Number), "a", Number).Verdict,
              claim_verdict::Granted);
    finish(std::to_string(Number), "a", Number, "body");
  }
  EXPECT_FALSE(claim("1", "b", 1).Answer->BodyKept);
  EXPECT_TRUE(claim("4", "b", 1).Answer->BodyKept);
  EXPECT_EQ(claim("5", "a", 5, Start + 999).Verdict, claim_verdict::Full);
  EXPECT_EQ(claim("5", "a", 5, Start + 2000).Verdict, claim_verdict::Granted);
  EXPECT_EQ(Table.size(), 4U);
  claim("6", "a", 6, Start + 20000);
  EXPECT_EQ(Table.size(), 1U);
}

TEST_F(claims, that_may_still_be_sent_are_never_forgotten) {
  Table = claim_table({10, 1, 2, 8});
  claim("1", "a", 1);
  EXPECT_EQ(claim("1", "b", 1, Start + 1999).Verdict,
            claim_verdict::InProgress);
}

class kept_field : public testing::TestWithParam<std::string> {};

// The leader closed the link of an entry host that sent such a value.
TEST_P(kept_field, is_carried_as_octets) {
  const kept_answer Answer{201, {{"Location", GetParam()}}, "body", true};
  wire::command Command;
  writeMessage(Answer, *Command.mutable_finish_claim()->mutable_answer());
  wire::command Received;
  ASSERT_TRUE(Received.ParseFromString(Command.SerializeAsString()));
  EXPECT_EQ(toKeptAnswer(Received.finish_claim().answer()).Fields,
            Answer.Fields);
}

INSTANTIATE_TEST_SUITE_P(each, kept_field,
                         testing::Values("/caf\xe9", "\xff\xfe", "\x80",
                                         "/caf\xc3\xa9", ""));

} // namespace
} // namespace pomelo
