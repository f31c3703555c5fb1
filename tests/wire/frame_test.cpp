#include "pomeloswitch/wire/frame.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

constexpr std::string_view Secret = "a secret of the cluster";

struct codec_pair {
  std::string DialerPreamble = makePreamble();
  std::string ListenerPreamble = makePreamble();
  frame_codec Dialer{link_side::Dialer, Secret, DialerPreamble,
                     ListenerPreamble};
  frame_codec Listener{link_side::Listener, Secret, ListenerPreamble,
                       DialerPreamble};
};

TEST(frame_codec, opens_what_the_other_side_sealed) {
  codec_pair Pair;
  for (const std::string Payload : {"", "a", "a longer payload"}) {
    Pair.Listener.feed(Pair.Dialer.seal(Payload));
    EXPECT_EQ(Pair.Listener.next(), Payload);
  }
  EXPECT_EQ(Pair.Listener.next(), std::nullopt);
}

TEST(frame_codec, waits_for_the_rest_of_a_frame_that_comes_byte_by_byte) {
  codec_pair Pair;
  const std::string Frame = Pair.Dialer.seal("payload");
  for (const char Byte : Frame.substr(0, Frame.size() - 1)) {
    Pair.Listener.feed(std::string_view(&Byte, 1));
    EXPECT_EQ(Pair.Listener.next(), std::nullopt);
  }
  Pair.Listener.feed(Frame.substr(Frame.size() - 1));
  EXPECT_EQ(Pair.Listener.next(), "payload");
}

TEST(frame_codec, refuses_a_frame_that_is_replayed) {
  codec_pair Pair;
  const std::string Frame = Pair.Dialer.seal("payload");
  Pair.Listener.feed(Frame + Frame);
  EXPECT_EQ(Pair.Listener.next(), "payload");
  EXPECT_THROW(Pair.Listener.next(), pomelo_error);
}

TEST(frame_codec, refuses_a_frame_that_is_sent_back) {
  codec_pair Pair;
  Pair.Dialer.feed(Pair.Dialer.seal("payload"));
  EXPECT_THROW(Pair.Dialer.next(), pomelo_error);
}

class damaged_frame : public testing::TestWithParam<std::size_t> {};

TEST_P(damaged_frame, is_refused) {
  codec_pair Pair;
  std::string Frame = Pair.Dialer.seal("payload");
  Frame[GetParam()] = static_cast<char>(Frame[GetParam()] ^ 1);
  Pair.Listener.feed(Frame);
  Pair.Listener.feed(std::string(4096, 'x'));
  EXPECT_THROW(Pair.Listener.next(), pomelo_error);
}

INSTANTIATE_TEST_SUITE_P(each_byte, damaged_frame,
                         testing::Values(0, 4, 19, 20, 26));

TEST(frame_codec, refuses_a_length_above_the_limit) {
  codec_pair Pair;
  Pair.Listener.feed(std::string(64, '\xff'));
  EXPECT_THROW(Pair.Listener.next(), pomelo_error);
}

TEST(frame_codec, refuses_a_peer_that_speaks_something_else) {
  EXPECT_THROW(frame_codec(link_side::Listener, Secret, makePreamble(),
                           "GET / HTTP/1.1\r\nHost: a"),
               pomelo_error);
}

} // namespace
} // namespace pomelo
