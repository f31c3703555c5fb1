#include "pomeloswitch/entry/announcement_waits.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace pomelo {
namespace {

struct wait_case {
  std::string Name;
  std::uint64_t AckSequence = 0; //!< The announcement goes with heartbeat 5.
  std::uint64_t Commit = 0;
  std::uint64_t Applied = 0;
  bool Ready = false;
};

void PrintTo(const wait_case &Case, std::ostream *Out) { *Out << Case.Name; }

class announcement : public testing::TestWithParam<wait_case> {};

TEST_P(announcement, is_answered_once_recorded_and_by_a_state_as_new) {
  announcement_waits Waits;
  bool Ready = false;
  Waits.add("t#1", 5, [&Ready] { Ready = true; });
  const std::vector<std::string> Ids{"t#1"};
  Waits.recorded(Ids, GetParam().AckSequence, GetParam().Commit);
  Waits.applied(GetParam().Applied);
  EXPECT_EQ(Ready, GetParam().Ready);
}

INSTANTIATE_TEST_SUITE_P(each_state, announcement,
                         testing::Values(wait_case{"as_new", 5, 10, 10, true},
                                         wait_case{"newer", 6, 10, 11, true},
                                         wait_case{"older", 5, 10, 9, false},
                                         wait_case{"earlier_heartbeat", 4, 10,
                                                   10, false}),
                         [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
