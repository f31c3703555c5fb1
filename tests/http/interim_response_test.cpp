//! Interim (1xx) responses of a target while it receives an upload.
#include "uploading_caller.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <optional>

namespace pomelo {
namespace {

using std::chrono::steady_clock;

//! More than the 65,536 bytes that are buffered before a request is sent.
constexpr std::size_t BodyBytes = 200'000;

//! What the target writes once it has read a part of the body.
struct interim_case {
  std::string Name;
  std::vector<std::string> Writes;
  std::size_t ReadBytes = 0;
};

void PrintTo(const interim_case &Case, std::ostream *Out) { *Out << Case.Name; }

std::vector<interim_case> interimCases() {
  const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string Hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  std::string Hundred;
  for (int Number = 0; Number < 100; ++Number)
    Hundred += Hints;
  return {
      {"continue_at_once", {Continue}},
      {"continue_within_the_body", {Continue}, 30'000},
      {"processing", {"HTTP/1.1 102 Processing\r\n\r\n"}, 30'000},
      {"early_hints", {Hints}, 30'000},
      {"cut_in_the_status", {"HTTP/1.1 1", "03 Early\r\n\r\n"}, 30'000},
      {"cut_in_the_end", {"HTTP/1.1 103 Early\r\n\r", "\n" + Hints}, 30'000},
      {"a_hundred", {Hundred}, 30'000},
      {"two_moments", {Continue, Hints}, 100'000},
  };
}

using interim_parameter = std::tuple<interim_case, bool>;

class interim_response : public testing::TestWithParam<interim_parameter> {};

// The upload stopped, and its target waited for the rest until the deadline.
TEST_P(interim_response, does_not_end_an_upload) {
  const interim_case &Case = std::get<0>(GetParam());
  const bool Chunked = std::get<1>(GetParam());
  const std::string Body = bodyOf(BodyBytes);
  std::optional<std::string> Received;
  scripted_target Target([&](scripted_connection &Connection, unsigned) {
    if (Connection.readRequest().empty())
      return;
    const std::string Begin =
        Chunked ? "" : Connection.readBody(Case.ReadBytes);
    for (const std::string &Text : Case.Writes) {
      Connection.write(Text);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    Received = Chunked
                   ? Connection.readChunkedBody()
                   : Begin + Connection.readBody(Body.size() - Begin.size());
    Connection.answer("stored");
    Connection.awaitEnd();
  });
  {
    traffic_fixture Traffic(Target.address(), 1);
    uploading_caller Caller(Traffic, Chunked);
    EXPECT_EQ(Caller.upload(Body, BodyBytes / 2), "HTTP/1.1 200 OK");
  }
  EXPECT_TRUE(Received == Body);
  EXPECT_EQ(Target.requests(), 1U);
}

INSTANTIATE_TEST_SUITE_P(each, interim_response,
                         testing::Combine(testing::ValuesIn(interimCases()),
                                          testing::Bool()),
                         [](const auto &Info) {
                           return std::get<0>(Info.param).Name +
                                  (std::get<1>(Info.param) ? "_chunked" : "");
                         });

//! What a target writes within an upload, in pieces, before it closes.
struct final_case {
  std::string Name;
  std::vector<std::string> Writes;
  std::string Status;
};

void PrintTo(const final_case &Case, std::ostream *Out) { *Out << Case.Name; }

class final_after_interim : public testing::TestWithParam<final_case> {};

TEST_P(final_after_interim, ends_an_upload_before_its_deadline) {
  scripted_target Target([&](scripted_connection &Connection, unsigned) {
    if (Connection.readRequest().empty())
      return;
    for (const std::string &Text : GetParam().Writes) {
      Connection.write(Text);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  traffic_fixture Traffic(Target.address(), 1);
  uploading_caller Caller(Traffic, true);
  const auto Begun = steady_clock::now();
  EXPECT_EQ(Caller.upload(bodyOf(BodyBytes), BodyBytes / 2),
            "HTTP/1.1 " + GetParam().Status);
  EXPECT_LT(steady_clock::now() - Begun, std::chrono::seconds(1));
}

const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string Unsigned = "HTTP/1.1 500 Bad\r\n"
                             "Content-Length: 0\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    each, final_after_interim,
    testing::Values(
        final_case{"no_interim", {Unsigned}, "500 Bad"},
        final_case{"in_one_write", {Interim + Unsigned}, "500 Bad"},
        final_case{"split_in_status",
                   {Interim + "HTTP/1.", Unsigned.substr(7)},
                   "500 Bad"},
        final_case{"split_after_interim_start",
                   {Interim + "HTTP/1.1 1", "03 x\r\n\r\n" + Unsigned},
                   "500 Bad"},
        final_case{"closed", {Interim}, "502 Bad Gateway"},
        final_case{
            "half_a_final", {Interim + "HTTP/1.1 50"}, "502 Bad Gateway"},
        final_case{"half_an_interim", {"HTTP/1.1 10"}, "502 Bad Gateway"},
        final_case{"switching", {"HTTP/1.1 101 x\r\n\r\n"}, "502 Bad Gateway"}),
    [](const auto &Info) { return Info.param.Name; });

class endless_interim : public testing::TestWithParam<std::string> {};

TEST_P(endless_interim, ends_an_upload_before_its_deadline) {
  std::atomic<bool> Done = false;
  scripted_target Target([&](scripted_connection &Connection, unsigned) {
    if (Connection.readRequest().empty())
      return;
    Connection.write("HTTP/1.1 103 Early Hints\r\n");
    while (!Done)
      Connection.write(GetParam());
  });
  {
    traffic_fixture Traffic(Target.address(), 1);
    uploading_caller Caller(Traffic, true);
    const auto Begun = steady_clock::now();
    EXPECT_EQ(Caller.upload(bodyOf(BodyBytes), BodyBytes / 2),
              "HTTP/1.1 502 Bad Gateway");
    EXPECT_LT(steady_clock::now() - Begun, std::chrono::seconds(2));
  }
  Done = true;
}

INSTANTIATE_TEST_SUITE_P(
    each, endless_interim,
    testing::Values("Link: </a>\r\n",
                    "\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n"));

} // namespace
} // namespace pomelo
