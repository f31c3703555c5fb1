//! A body that the link cannot take in time is refused before it is read.
#include "pomeloswitch/sending/body_admission.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr link_pacer::time_point Now{std::chrono::hours(1)};
constexpr double LinkBytesPerSecond = 400'000; // 300,000 of them for bodies.

struct row {
  const char *Name;
  std::uint64_t PendingBytes;
  std::uint64_t Bytes;
  milliseconds LatencyGoal;
  milliseconds Left;
  bool Admitted;
};

class pending_bodies : public testing::TestWithParam<row> {};

TEST_P(pending_bodies, decide_whether_one_more_fits) {
  const row &Row = GetParam();
  link_pacer Link(LinkBytesPerSecond);
  const link_pacer::pending_body Pending(Link, Row.PendingBytes);
  std::optional<pomelo_error> Refusal;
  try {
    const auto Body =
        admitBody(Link, {Row.Bytes, Now + Row.Left, Row.LatencyGoal}, Now);
    EXPECT_GE(Link.backlog(), Link.transferTime(Row.PendingBytes));
  } catch (const pomelo_error &Failure) {
    Refusal = Failure;
  }
  EXPECT_EQ(!Refusal, Row.Admitted);
  if (!Refusal)
    return;
  EXPECT_EQ(Refusal->kind(), error_kind::Overloaded);
  EXPECT_GE(Refusal->retryAfter(), milliseconds(200));
  EXPECT_LE(Refusal->retryAfter(), milliseconds(2000));
}

INSTANTIATE_TEST_SUITE_P(
    bodies, pending_bodies,
    testing::Values(row{"idle_link", 0, 60'000, milliseconds(2000),
                        milliseconds(8000), true},
                    row{"idle_link_and_a_body_over_the_goal", 0, 900'000,
                        milliseconds(2000), milliseconds(8000), true},
                    row{"room_for_one_more", 200'000, 60'000,
                        milliseconds(2000), milliseconds(8000), true},
                    row{"backlog_over_half_of_the_goal", 400'000, 60'000,
                        milliseconds(2000), milliseconds(8000), false},
                    row{"deadline_before_the_end", 250'000, 60'000,
                        milliseconds(0), milliseconds(1000), false},
                    row{"no_goal", 250'000, 60'000, milliseconds(0),
                        milliseconds(8000), true},
                    row{"small_body", 4'000'000, 2'000, milliseconds(2000),
                        milliseconds(8000), true}),
    [](const auto &Info) { return std::string(Info.param.Name); });

} // namespace
} // namespace pomelo
