//! Bodies leave room on the link for small messages.
#include "pomeloswitch/sending/link_pacer.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using time_point = link_pacer::time_point;
using duration = link_pacer::duration;

constexpr time_point Start{std::chrono::hours(1)};

//! Bytes per second of a link, and of bodies that are sent over it at once.
struct load {
  const char *Name;
  double LinkBytesPerSecond;
  unsigned Bodies;
  std::size_t BodyBytes;
};

class body_load : public testing::TestWithParam<load> {};

//! Sends all bodies in turn, a piece each; returns when the last may be sent.
time_point sendAll(link_pacer &Link, const load &Load) {
  time_point Last = Start;
  for (std::size_t Sent = 0; Sent < Load.BodyBytes;) {
    const std::size_t Piece =
        std::min(Link.pieceBytes(), Load.BodyBytes - Sent);
    for (unsigned Body = 0; Body < Load.Bodies; ++Body)
      Last = Link.take(Piece, Last);
    Sent += Piece;
  }
  return Last;
}

TEST_P(body_load, leaves_a_fifth_of_the_link_to_small_messages) {
  link_pacer Link(GetParam().LinkBytesPerSecond);
  const duration Took = sendAll(Link, GetParam()) - Start;
  const double Bytes = static_cast<double>(GetParam().Bodies) *
                       static_cast<double>(GetParam().BodyBytes);
  EXPECT_GE(Took.count() + 0.05, Bytes / (0.8 * GetParam().LinkBytesPerSecond));
}

TEST_P(body_load, keeps_the_link_busy) {
  link_pacer Link(GetParam().LinkBytesPerSecond);
  const duration Took = sendAll(Link, GetParam()) - Start;
  const double Bytes = static_cast<double>(GetParam().Bodies) *
                       static_cast<double>(GetParam().BodyBytes);
  EXPECT_LE(Took.count(), Bytes / (0.7 * GetParam().LinkBytesPerSecond));
}

//! A small message waits behind one piece at most.
TEST_P(body_load, delays_a_small_message_by_no_more_than_12_ms) {
  const link_pacer Link(GetParam().LinkBytesPerSecond);
  const double Seconds =
      static_cast<double>(Link.pieceBytes()) / GetParam().LinkBytesPerSecond;
  EXPECT_LE(Seconds, 0.012);
}

INSTANTIATE_TEST_SUITE_P(
    links, body_load,
    testing::Values(load{"small_link_one_body", 362'500, 1, 60'000},
                    load{"small_link_many_bodies", 362'500, 20, 60'000},
                    load{"small_link_large_bodies", 362'500, 3, 400'000},
                    load{"large_link", 21'000'000, 50, 400'000},
                    load{"very_large_link", 125'000'000, 50, 1'000'000}),
    [](const auto &Info) { return std::string(Info.param.Name); });

TEST(link_pacer, does_not_delay_a_body_on_an_idle_link) {
  link_pacer Link(362'500);
  EXPECT_EQ(Link.take(4096, Start), Start);
}

TEST(link_pacer, saves_up_no_more_than_20_ms_while_idle) {
  link_pacer Link(362'500);
  Link.take(4096, Start);
  const time_point Later = Start + std::chrono::seconds(10);
  const time_point End = sendAll(Link, {"", 362'500, 1, 60'000});
  EXPECT_LT(End, Later);
  time_point Last = Later;
  for (unsigned Piece = 0; Piece < 15; ++Piece)
    Last = Link.take(4096, Later);
  EXPECT_GE(Last - Later, milliseconds(180));
}

TEST(link_pacer, bounds_nothing_if_the_link_is_not_known) {
  link_pacer Link;
  for (unsigned Piece = 0; Piece < 100; ++Piece)
    EXPECT_EQ(Link.take(1'000'000, Start), Start);
  EXPECT_EQ(Link.transferTime(1'000'000'000), duration(0));
}

TEST(link_pacer, counts_what_pending_bodies_have_yet_to_send) {
  link_pacer Link(400'000);
  {
    link_pacer::pending_body First(Link, 150'000);
    const link_pacer::pending_body Second(Link, 150'000);
    EXPECT_NEAR(Link.backlog().count(), 1.0, 0.001);
    First.sent(100'000);
    const link_pacer::pending_body Moved = std::move(First);
    EXPECT_NEAR(Link.backlog().count(), 200. / 300, 0.001);
  }
  EXPECT_EQ(Link.backlog(), duration(0));
}

} // namespace
} // namespace pomelo
