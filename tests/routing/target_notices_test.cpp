#include "pomeloswitch/routing/target_notices.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class target_notices_test : public testing::Test {
protected:
  target_notices_test() {
    Target.Member.TargetId = "t";
    Target.Member.Incarnation = 1;
  }

  bool wantsRequests(target_notices::time_point At) const {
    return Notices.of(Target).wantsRequests(At);
  }

  target_notices::time_point Now{std::chrono::hours(1)};
  routing_target Target;
  target_notices Notices;
};

TEST_F(target_notices_test, a_target_that_leaves_wants_nothing_any_more) {
  EXPECT_FALSE(Notices.record(Target, {}, Now));
  EXPECT_TRUE(wantsRequests(Now));
  EXPECT_TRUE(Notices.record(Target, {true, {}}, Now));
  EXPECT_FALSE(Notices.record(Target, {true, {}}, Now));
  EXPECT_FALSE(wantsRequests(Now + std::chrono::hours(1)));
  Target.Member.Incarnation = 2;
  EXPECT_TRUE(wantsRequests(Now));
}

TEST_F(target_notices_test, a_time_that_a_target_named_is_not_shortened) {
  const auto Until = Now + seconds(3);
  EXPECT_TRUE(Notices.record(Target, {false, Until}, Now));
  EXPECT_FALSE(Notices.record(Target, {false, Until - seconds(1)}, Now));
  EXPECT_FALSE(wantsRequests(Until - milliseconds(1)));
  EXPECT_TRUE(wantsRequests(Until));
}

struct notice_case {
  std::string Name;
  bool Leaving;
  seconds WantsNothingFor;
};

void PrintTo(const notice_case &Case, std::ostream *Out) { *Out << Case.Name; }

class kept_notice : public target_notices_test,
                    public testing::WithParamInterface<notice_case> {};

// Control hosts that are cut off from a target remove it; when it reports
// again, it is the process that it was.
TEST_P(kept_notice, holds_while_its_target_is_no_member) {
  Notices.record(Target, {GetParam().Leaving, Now + GetParam().WantsNothingFor},
                 Now);
  Now += seconds(5);
  Notices.retain({}, Now);
  EXPECT_FALSE(wantsRequests(Now));
}

TEST_F(target_notices_test, are_forgotten_long_after_a_target_has_left) {
  routing_view View;
  View.Targets["t"] = std::make_shared<routing_target>(Target);
  Notices.record(Target, {true, {}}, Now);
  Now += 2 * target_notices::MemoryTime;
  Notices.retain(View, Now);
  EXPECT_FALSE(wantsRequests(Now));
  Now += target_notices::MemoryTime + seconds(1);
  Notices.retain({}, Now);
  EXPECT_TRUE(wantsRequests(Now));
}

INSTANTIATE_TEST_SUITE_P(each_notice, kept_notice,
                         testing::Values(notice_case{"leaving", true, {}},
                                         notice_case{"wants_nothing", false,
                                                     seconds(20)}),
                         [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
