#include "pomeloswitch/raft/raft_core.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! Tests the core of host c1 in a group of three with handmade messages from
//! the other two. The log of c1 contains entries of term 1 that it does not
//! know to be committed.
class raft_messages : public testing::Test {
protected:
  static constexpr std::uint64_t LastIndex = 5;

  void SetUp() override {
    stored_state Stored;
    Stored.Identity.set_replica_id("r1");
    Stored.Identity.set_starts(1);
    Stored.Vote.set_term(1);
    for (std::uint64_t Index = 1; Index <= LastIndex; ++Index) {
      wire::raft_entry &Entry = Stored.Entries.emplace_back();
      Entry.set_index(Index);
      Entry.set_term(1);
    }
    for (const std::string Suffix : {"1", "2", "3"}) {
      auto *Member = Stored.Entries[0].mutable_config()->add_members();
      Member->set_host_id("c" + Suffix);
      Member->set_replica_id("r" + Suffix);
      Member->set_voter(true);
    }
    raft_core::options Options;
    Options.HostId = "c1";
    Options.Random = [] { return 0; };
    Core = std::make_unique<raft_core>(Options, Stored, Now);
  }

  static wire::raft_message from(const std::string &Suffix,
                                 std::uint64_t Term) {
    wire::raft_message Message;
    Message.set_from_host("c" + Suffix);
    Message.set_from_replica("r" + Suffix);
    Message.set_to_host("c1");
    Message.set_to_replica("r1");
    Message.set_starts(1);
    Message.set_term(Term);
    return Message;
  }

  void requestVote(std::uint64_t LastLogIndex, std::uint64_t LastLogTerm = 1) {
    wire::raft_message Message = from("2", 2);
    Message.mutable_vote_request()->set_last_index(LastLogIndex);
    Message.mutable_vote_request()->set_last_term(LastLogTerm);
    Core->receive(Message, Now);
  }

  void sync() { Core->synced(Core->takeBatch(), Now); }

  void becomeLeader() {
    Now += raft_times().ElectionMin;
    Core->tick(Now);
    for (const bool PreVote : {true, false}) {
      wire::raft_message Message = from("2", PreVote ? 1 : 2);
      Message.mutable_vote_answer()->set_pre_vote(PreVote);
      Message.mutable_vote_answer()->set_granted(true);
      Core->receive(Message, Now);
      if (PreVote)
        sync();
    }
  }

  raft_time Now{std::chrono::hours(1)};
  std::unique_ptr<raft_core> Core;
};

TEST_F(raft_messages, a_restarted_voter_waits_as_if_it_had_heard_a_leader) {
  requestVote(LastIndex);
  EXPECT_EQ(Core->term(), 1U);
  Now += raft_times().ElectionMin;
  requestVote(LastIndex);
  EXPECT_EQ(Core->term(), 2U);
}

TEST_F(raft_messages, a_vote_is_told_only_once_it_is_durable) {
  Now += raft_times().ElectionMin;
  requestVote(LastIndex);
  EXPECT_TRUE(Core->takeMessages(Now).empty());
  const storage_batch Batch = Core->takeBatch();
  EXPECT_EQ(Batch.Record.vote().voted_for(), "c2");
  EXPECT_FALSE(Batch.empty());
  ASSERT_EQ(Batch.SendAfter.size(), 1U);
  EXPECT_TRUE(Batch.SendAfter[0].vote_answer().granted());
}

TEST_F(raft_messages, a_candidate_with_less_in_its_log_gets_no_vote) {
  Now += raft_times().ElectionMin;
  requestVote(LastIndex - 1);
  const storage_batch Batch = Core->takeBatch();
  ASSERT_EQ(Batch.SendAfter.size(), 1U);
  EXPECT_FALSE(Batch.SendAfter[0].vote_answer().granted());
}

TEST_F(raft_messages, the_own_vote_counts_once_it_is_durable) {
  Now += raft_times().ElectionMin;
  Core->tick(Now);
  wire::raft_message Granted = from("2", 1);
  Granted.mutable_vote_answer()->set_pre_vote(true);
  Granted.mutable_vote_answer()->set_granted(true);
  Core->receive(Granted, Now);
  Granted.set_term(2);
  Granted.mutable_vote_answer()->set_pre_vote(false);
  Core->receive(Granted, Now);
  EXPECT_EQ(Core->role(), raft_role::Candidate);
  sync();
  EXPECT_EQ(Core->role(), raft_role::Leader);
}

struct received_snapshot {
  std::string Name;
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  std::uint64_t LastIndexAfter = 0;
};

void PrintTo(const received_snapshot &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class snapshot_message : public raft_messages,
                         public testing::WithParamInterface<received_snapshot> {
};

// Guards against a snapshot that removes entries after it which this host has
// acknowledged: the leader may have counted on them (issue 38).
TEST_P(snapshot_message, removes_no_entries_that_continue_it) {
  wire::raft_message Message = from("2", 2);
  auto *Snapshot = Message.mutable_snapshot_request()->mutable_snapshot();
  Snapshot->set_index(GetParam().Index);
  Snapshot->set_term(GetParam().Term);
  *Snapshot->mutable_config() = Core->log().config();
  Core->receive(Message, Now);
  EXPECT_EQ(Core->log().lastIndex(), GetParam().LastIndexAfter);
  EXPECT_EQ(Core->commitIndex(), GetParam().Index);
  const storage_batch Batch = Core->takeBatch();
  ASSERT_TRUE(Batch.Snapshot);
  EXPECT_EQ(Batch.EntriesAfterSnapshot.size(),
            GetParam().LastIndexAfter - GetParam().Index);
  Core->synced(Batch, Now);
  Now += raft_times().ElectionMin;
  wire::raft_message Request = from("3", 3);
  Request.mutable_vote_request()->set_last_index(GetParam().Index);
  Request.mutable_vote_request()->set_last_term(GetParam().Term);
  Core->receive(Request, Now);
  const storage_batch Answer = Core->takeBatch();
  ASSERT_EQ(Answer.SendAfter.size(), 1U);
  EXPECT_EQ(Answer.SendAfter[0].vote_answer().granted(),
            GetParam().LastIndexAfter == GetParam().Index);
}

INSTANTIATE_TEST_SUITE_P(
    table, snapshot_message,
    testing::Values(received_snapshot{"within_the_log", 3, 1, 5},
                    received_snapshot{"at_its_end", 5, 1, 5},
                    received_snapshot{"after_it", 7, 1, 7},
                    received_snapshot{"of_another_history", 3, 2, 3}),
    [](const auto &Info) { return Info.param.Name; });

TEST_F(raft_messages,
       entries_of_an_earlier_term_are_not_committed_by_counting) {
  becomeLeader();
  ASSERT_EQ(Core->role(), raft_role::Leader);
  sync();
  wire::raft_message Answer = from("2", 2);
  Answer.mutable_append_answer()->set_accepted(true);
  Answer.mutable_append_answer()->set_match_index(LastIndex);
  Core->receive(Answer, Now);
  EXPECT_EQ(Core->commitIndex(), 0U);
  Answer.mutable_append_answer()->set_match_index(LastIndex + 1);
  Core->receive(Answer, Now);
  EXPECT_EQ(Core->commitIndex(), LastIndex + 1);
}

TEST_F(raft_messages, a_leader_counts_its_own_copy_only_once_it_is_durable) {
  becomeLeader();
  ASSERT_EQ(Core->role(), raft_role::Leader);
  wire::raft_message Answer = from("2", 2);
  Answer.mutable_append_answer()->set_accepted(true);
  Answer.mutable_append_answer()->set_match_index(LastIndex + 1);
  Core->receive(Answer, Now);
  EXPECT_EQ(Core->commitIndex(), 0U);
  sync();
  EXPECT_EQ(Core->commitIndex(), LastIndex + 1);
}

} // namespace
} // namespace pomelo
