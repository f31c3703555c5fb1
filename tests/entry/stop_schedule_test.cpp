#include "pomeloswitch/entry/stop_schedule.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

struct stop_case {
  std::string Name;
  std::uint32_t NoticeMs;
  std::optional<double> LimitSeconds;
  std::int64_t ListenerClosesMs;
  std::int64_t ProcessEndsMs;
};

void PrintTo(const stop_case &Case, std::ostream *Out) { *Out << Case.Name; }

class stop_of_an_entry_host : public testing::TestWithParam<stop_case> {};

// A fixed grace period cut requests seconds before the process was killed.
TEST_P(stop_of_an_entry_host, uses_the_time_that_it_is_given) {
  entry_settings Settings;
  Settings.StopNoticeMs = GetParam().NoticeMs;
  Settings.StopGraceMs = 3000;
  Settings.StopLimitSeconds = GetParam().LimitSeconds;
  const stop_schedule Schedule = makeStopSchedule(Settings);
  EXPECT_EQ(Schedule.ListenerCloses.count(), GetParam().ListenerClosesMs);
  EXPECT_EQ(Schedule.ProcessEnds.count(), GetParam().ProcessEndsMs);
}

INSTANTIATE_TEST_SUITE_P(
    each_limit, stop_of_an_entry_host,
    testing::Values(stop_case{"no_limit", 2600, std::nullopt, 2600, 5600},
                    stop_case{"six_seconds", 2600, 6, 2600, 5600},
                    stop_case{"ten_seconds", 2600, 10, 2600, 9600},
                    stop_case{"a_fraction", 2600, 7.5, 2600, 7100},
                    stop_case{"shorter_than_the_notice", 2600, 2, 1600, 1600},
                    stop_case{"none_at_all", 2600, 0, 0, 0}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
