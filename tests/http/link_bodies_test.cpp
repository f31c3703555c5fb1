//! Bodies arrive whole, and no faster than their part of the host's link.
#include "traffic_fixture.hpp"

#include <gtest/gtest.h>

#include <future>

namespace pomelo {
namespace {

using std::chrono::steady_clock;

constexpr double LinkBytesPerSecond = 125'000;

struct body_sizes {
  std::string Name;
  std::size_t Request = 0;
  std::size_t Response = 0;
};

class large_body : public testing::TestWithParam<body_sizes> {};

std::string bytes(std::size_t Count) {
  std::string Bytes(Count, ' ');
  for (std::size_t Index = 0; Index < Count; ++Index)
    Bytes[Index] = static_cast<char>('a' + Index % 23);
  return Bytes;
}

TEST_P(large_body, takes_no_more_than_the_link_and_arrives_whole) {
  const std::string Request = bytes(GetParam().Request);
  const std::string Response = bytes(GetParam().Response);
  std::string Received;
  scripted_target Target([&](scripted_connection &Connection, unsigned) {
    Connection.readRequest();
    Received = Connection.readBody(Request.size());
    Connection.answer(Response);
  });
  traffic_fixture Traffic(Target.address(), 1);
  Traffic.useLink(LinkBytesPerSecond);
  const auto Start = steady_clock::now();
  const auto Answer = Traffic.call("POST", "/unsafe", Request);
  const std::chrono::duration<double> Took = steady_clock::now() - Start;
  EXPECT_EQ(Answer.Status, 200) << Answer.Failure;
  EXPECT_EQ(Received, Request);
  EXPECT_EQ(Answer.Body, Response);
  const auto Bytes = static_cast<double>(Request.size() + Response.size());
  EXPECT_GE(Took.count(), Bytes / LinkBytesPerSecond);
}

INSTANTIATE_TEST_SUITE_P(
    bodies, large_body,
    testing::Values(body_sizes{"buffered_request", 60'000, 2},
                    body_sizes{"streamed_request", 150'000, 2},
                    body_sizes{"response", 0, 150'000},
                    body_sizes{"both", 60'000, 60'000}),
    [](const auto &Info) { return Info.param.Name; });

//! Guards against bodies that go on to a target after their caller has left.
TEST(large_body_of_a_caller_that_leaves, does_not_reach_the_target_whole) {
  const std::string Request = bytes(60'000);
  std::promise<std::size_t> Arrived;
  scripted_target Target([&](scripted_connection &Connection, unsigned) {
    Connection.readRequest();
    Arrived.set_value(Connection.readBody(Request.size()).size());
  });
  traffic_fixture Traffic(Target.address(), 1);
  Traffic.useLink(LinkBytesPerSecond);
  {
    boost::asio::io_context Io;
    boost::asio::ip::tcp::socket Caller(Io);
    Caller.connect(parseEndpoint(Traffic.address()));
    boost::asio::write(
        Caller, boost::asio::buffer("POST /unsafe HTTP/1.1\r\nHost: h\r\n"
                                    "Content-Length: 60000\r\n\r\n" +
                                    Request));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  EXPECT_LT(Arrived.get_future().get(), Request.size());
}

//! Guards against bodies that are sent after their request's deadline.
TEST(large_body_behind_others, is_given_up_at_its_deadline) {
  scripted_target Target([&](scripted_connection &Connection, unsigned) {
    Connection.readRequest();
    Connection.awaitEnd();
  });
  traffic_fixture Traffic(Target.address(), 1);
  Traffic.useLink(10'000);
  const auto Start = steady_clock::now();
  const auto Answer = Traffic.call("POST", "/once", bytes(60'000));
  const std::chrono::duration<double> Took = steady_clock::now() - Start;
  EXPECT_GE(Answer.Status, 500) << Answer.Failure;
  EXPECT_LT(Took.count(), 1.3); // The deadline is 0.8 s.
}

} // namespace
} // namespace pomelo
