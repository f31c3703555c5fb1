//! Bodies arrive whole, and no faster than their part of the host's link.
#include "traffic_fixture.hpp"

#include <gtest/gtest.h>

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

TEST_P(large_body, leaves_a_fifth_of_the_link_and_arrives_whole) {
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

} // namespace
} // namespace pomelo
