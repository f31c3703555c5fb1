#include "pomeloswitch/clock/stall_detector.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Longest{300};
constexpr milliseconds Aftermath{250};

struct stall_case {
  std::string Name;
  milliseconds Gap;       //!< Between the last two ticks.
  milliseconds AfterTick; //!< From the last one to the reading.
  bool Expected;
};

void PrintTo(const stall_case &Case, std::ostream *Out) { *Out << Case.Name; }

class stall_detection : public testing::TestWithParam<stall_case> {};

// Guards against input of a stopped process that is taken for new (EVAC,
// review/7).
TEST_P(stall_detection, tells_what_may_have_waited) {
  stall_detector Detector(Longest, Aftermath);
  const lease_time Start = lease_clock::now();
  Detector.tick(Start);
  Detector.tick(Start + GetParam().Gap);
  EXPECT_EQ(
      Detector.mayHaveWaited(Start + GetParam().Gap + GetParam().AfterTick),
      GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, stall_detection,
    testing::Values(
        stall_case{"usual_ticks", milliseconds(20), milliseconds(10), false},
        stall_case{"a_short_stall", Longest, milliseconds(0), false},
        stall_case{"read_before_the_tick", milliseconds(20),
                   Longest + milliseconds(1), true},
        stall_case{"read_after_the_tick", Longest + milliseconds(1),
                   milliseconds(0), true},
        stall_case{"late_in_the_aftermath", milliseconds(4000),
                   Aftermath - milliseconds(1), true},
        stall_case{"after_the_aftermath", milliseconds(4000), Aftermath,
                   false}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
