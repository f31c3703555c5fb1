#include "pomeloswitch/state/crash_table.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

class crashes : public testing::Test {
protected:
  void report(const std::string &Fingerprint, const std::string &Target,
              std::uint64_t Incarnation, std::uint64_t Now = 0) {
    wire::report_crash Report;
    Report.set_fingerprint(Fingerprint);
    Report.set_target_id(Target);
    Report.set_incarnation(Incarnation);
    Table.report(Report, Now);
  }

  crash_table Table{{100, 1000, 3}};
};

TEST_F(crashes, one_crash_makes_a_suspect_that_is_still_served) {
  report("poison", "t1", 1);
  report("poison", "t1", 1);
  EXPECT_TRUE(Table.isSuspect("poison"));
  EXPECT_FALSE(Table.isPoison("poison", 0));
}

TEST_F(crashes, a_crash_of_a_second_incarnation_makes_it_poison) {
  report("poison", "t1", 1);
  report("poison", "t1", 2);
  report("bystander", "t1", 2);
  EXPECT_TRUE(Table.isPoison("poison", 0));
  EXPECT_FALSE(Table.isPoison("bystander", 0));
}

TEST_F(crashes, a_suspect_that_completes_is_cleared) {
  report("bystander", "t1", 1);
  Table.clear("bystander");
  report("bystander", "t2", 1);
  EXPECT_FALSE(Table.isPoison("bystander", 0));
}

TEST_F(crashes, a_poison_request_is_not_cleared) {
  report("poison", "t1", 1);
  report("poison", "t2", 1);
  Table.clear("poison");
  EXPECT_TRUE(Table.isPoison("poison", 0));
}

TEST_F(crashes, are_forgotten_in_time) {
  report("poison", "t1", 1, 0);
  report("poison", "t2", 1, 50);
  EXPECT_TRUE(Table.isPoison("poison", 1049));
  EXPECT_FALSE(Table.isPoison("poison", 1050));
  report("suspect", "t1", 1, 0);
  report("suspect", "t2", 1, 100);
  EXPECT_FALSE(Table.isPoison("suspect", 100));
}

TEST_F(crashes, are_bounded_and_suspects_go_first) {
  report("poison", "t1", 1, 0);
  report("poison", "t2", 1, 1);
  report("older", "t3", 1, 2);
  report("newer", "t3", 1, 3);
  report("newest", "t3", 1, 4);
  EXPECT_EQ(Table.size(), 3U);
  EXPECT_TRUE(Table.isPoison("poison", 4));
  EXPECT_FALSE(Table.isSuspect("older"));
}

TEST_F(crashes, identify_the_crashed_incarnations) {
  report("poison", "t1", 1);
  EXPECT_TRUE(Table.hasCrashed("t1", 1));
  EXPECT_FALSE(Table.hasCrashed("t1", 2));
  EXPECT_FALSE(Table.hasCrashed("t2", 1));
}

TEST_F(crashes, survive_a_snapshot) {
  report("poison", "t1", 1);
  report("poison", "t2", 1);
  wire::state_snapshot Snapshot;
  Table.writeTo(Snapshot);
  EXPECT_TRUE(crash_table::readFrom(Snapshot).isPoison("poison", 0));
}

} // namespace
} // namespace pomelo
