#include "pomeloswitch/entry/pending_announcements.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace pomelo {
namespace {

struct announcement_case {
  std::string Name;
  std::uint64_t AckSequence = 0; //!< The announcement is sent in heartbeat 5.
  std::uint64_t Commit = 0;
  std::uint64_t Applied = 0;
  bool Ready = false;
};

void PrintTo(const announcement_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class announcement : public testing::TestWithParam<announcement_case> {};

TEST_P(announcement, is_answered_once_recorded_and_the_state_is_current) {
  pending_announcements Pending;
  bool Ready = false;
  Pending.add("t#1", 5, [&Ready] { Ready = true; });
  const std::vector<std::string> Ids{"t#1"};
  Pending.onRecorded(Ids, GetParam().AckSequence, GetParam().Commit);
  Pending.onApplied(GetParam().Applied);
  EXPECT_EQ(Ready, GetParam().Ready);
}

INSTANTIATE_TEST_SUITE_P(
    each_state, announcement,
    testing::Values(announcement_case{"current", 5, 10, 10, true},
                    announcement_case{"newer", 6, 10, 11, true},
                    announcement_case{"older", 5, 10, 9, false},
                    announcement_case{"earlier_heartbeat", 4, 10, 10, false}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
