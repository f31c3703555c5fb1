//! Uploads that a target rejects before it has read them.
#include "uploading_caller.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

constexpr double LinkBytesPerSecond = 250'000;
constexpr std::size_t BodyBytes = 200'000;
const std::string NotRunResponse = "HTTP/1.1 503 Busy\r\nPomelo-Not-Run: shed"
                                   "\r\nContent-Length: 0\r\n\r\n";

//! What the first target reads before it rejects, and when the caller sends.
struct rejected_upload_case {
  std::string Name;
  bool Chunked = true;
  bool LinkKnown = true;
  //! Bytes of the body that the target reads before it rejects the request.
  std::size_t ReadBytes = 0;
  //! The caller pauses after this many bytes.
  std::size_t PauseAfter = BodyBytes;
};

void PrintTo(const rejected_upload_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class rejected_upload : public testing::TestWithParam<rejected_upload_case> {};

// Guards against uploads that the second target gets cut to their first 64 KiB,
// as if whole, and runs so (UNASKED, issue 37).
TEST_P(rejected_upload, reaches_the_next_target_whole) {
  const rejected_upload_case &Case = GetParam();
  const std::string Body = bodyOf(BodyBytes);
  std::optional<std::string> Received;
  scripted_target Target([&](scripted_connection &Connection, unsigned Number) {
    if (Connection.readRequest().empty())
      return;
    if (Number == 0) {
      Connection.readBody(Case.ReadBytes);
      Connection.write(NotRunResponse);
      return Connection.awaitEnd();
    }
    Received = Case.Chunked ? Connection.readChunkedBody()
                            : Connection.readBody(Body.size());
    Connection.answer("stored");
    Connection.awaitEnd();
  });
  {
    traffic_fixture Traffic(Target.address(), 2);
    if (Case.LinkKnown)
      Traffic.useLink(LinkBytesPerSecond);
    uploading_caller Caller(Traffic, Case.Chunked);
    EXPECT_EQ(Caller.upload(Body, Case.PauseAfter), "HTTP/1.1 200 OK");
  }
  ASSERT_TRUE(Received);
  EXPECT_EQ(Received->size(), Body.size());
  EXPECT_TRUE(*Received == Body);
  EXPECT_EQ(Target.requests(), 2U);
}

// The prefix that is buffered has 65,536 bytes.
INSTANTIATE_TEST_SUITE_P(
    table, rejected_upload,
    testing::Values(rejected_upload_case{"in_chunks_at_once"},
                    rejected_upload_case{"with_a_length_at_once", false},
                    rejected_upload_case{"in_chunks_while_more_is_awaited",
                                         true, false, 65'536, 66'000},
                    rejected_upload_case{"with_a_length_while_more_is_awaited",
                                         false, false, 65'536, 66'000},
                    rejected_upload_case{
                        "in_chunks_while_nothing_more_has_come", true, false,
                        65'536, 65'536}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
