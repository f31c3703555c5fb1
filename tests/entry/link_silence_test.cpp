#include "pomeloswitch/entry/link_silence.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr link_silence::time_point Start{std::chrono::hours(1)};
constexpr milliseconds Timeout{900};

TEST(link_silence, is_no_large_message_that_is_still_arriving) {
  link_silence Silence(Timeout);
  std::uint64_t Bytes = 0;
  for (auto Now = Start; Now < Start + 10 * Timeout; Now += milliseconds(200)) {
    Silence.received(Bytes += 1000);
    EXPECT_FALSE(Silence.timedOut(Now));
    Silence.heartbeatSent(Now);
  }
}

TEST(link_silence, ends_a_connection_on_which_nothing_arrives) {
  link_silence Silence(Timeout);
  Silence.received(1000);
  EXPECT_FALSE(Silence.timedOut(Start + 2 * Timeout));
  Silence.heartbeatSent(Start);
  Silence.heartbeatSent(Start + Timeout);
  Silence.received(1000);
  EXPECT_FALSE(Silence.timedOut(Start + Timeout));
  EXPECT_TRUE(Silence.timedOut(Start + Timeout + milliseconds(1)));
  Silence.reset();
  EXPECT_FALSE(Silence.timedOut(Start + 2 * Timeout));
}

} // namespace
} // namespace pomelo
