#include "pomeloswitch/wire/peer_link.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <chrono>

namespace pomelo {
namespace {

const std::string Secret = "a secret of the tests";
//! More than half of a link's read buffer, so that the frames after the first
//! one need further reads.
constexpr std::size_t MessageBytes = 40 * 1024;
constexpr int FrameCount = 6;

wire::envelope largeMessage() {
  wire::envelope Message;
  Message.mutable_hello()->set_id(std::string(MessageBytes, 'x'));
  return Message;
}

TEST(peer_link, delivers_nothing_once_it_has_closed) {
  boost::asio::io_context Io;
  int Delivered = 0;
  int DeliveredAfterClose = 0;
  bool Closed = false;
  peer_link::handlers Receiving;
  Receiving.OnOpen = [](const auto &) {};
  Receiving.OnMessage = [&](const std::shared_ptr<peer_link> &Link,
                            const wire::envelope &) {
    ++Delivered;
    DeliveredAfterClose += Closed ? 1 : 0;
    // Runs after the link has started its next read.
    boost::asio::post(Io, [Link] { Link->close(); });
  };
  Receiving.OnClose = [&](const auto &) { Closed = true; };
  peer_listener Listener(Io, parseEndpoint("127.0.0.1:0"), Secret, Receiving);

  peer_link::handlers Sending;
  Sending.OnOpen = [](const std::shared_ptr<peer_link> &Link) {
    for (int Frame = 0; Frame < FrameCount; ++Frame)
      Link->send(largeMessage());
  };
  Sending.OnMessage = [](const auto &, const auto &) {};
  Sending.OnClose = [](const auto &) {};
  peer_dialer Dialer(Io, Listener.address(), Secret, Sending);
  Dialer.start();

  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!Closed && std::chrono::steady_clock::now() < Deadline)
    Io.run_for(std::chrono::milliseconds(5));
  Dialer.stop();
  Listener.stop();
  Io.run_for(std::chrono::milliseconds(20));
  EXPECT_TRUE(Closed);
  EXPECT_GE(Delivered, 1);
  EXPECT_EQ(DeliveredAfterClose, 0);
}

} // namespace
} // namespace pomelo
