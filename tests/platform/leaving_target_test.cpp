//! Targets that say in their answers that they want no more requests.
#include "http/traffic_fixture.hpp"
#include "platform/platform_dialect.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace pomelo::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const platform_dialect Dialect;
const std::string Success = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n";
const std::string Refusal = "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\n";
const std::string Empty = "Content-Length: 0\r\n\r\n";

//! Answers the first request with \p First and all others with success.
scripted_target::script answersFirstWith(const std::string &First,
                                         std::atomic<unsigned> &Answered) {
  return [First, &Answered](scripted_connection &Connection, unsigned) {
    while (!Connection.readRequest().empty())
      Connection.write((Answered++ == 0 ? First : Success) + Empty);
  };
}

struct leaving_case {
  std::string Name;
  std::string First;
};

void PrintTo(const leaving_case &Case, std::ostream *Out) { *Out << Case.Name; }

class leaving_target : public testing::TestWithParam<leaving_case> {};

TEST_P(leaving_target, gets_no_request_after_any_answer_that_says_so) {
  std::atomic<unsigned> Answered = 0;
  scripted_target Target(answersFirstWith(GetParam().First, Answered));
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  Traffic.call("POST", "/once", "body");
  for (const std::string Route : {"/once", "/idempotent", "/keyed?key=1"})
    EXPECT_EQ(Traffic.call("POST", Route, "body").Status, 503) << Route;
  EXPECT_EQ(Target.requests(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    each_answer, leaving_target,
    testing::Values(
        leaving_case{"success", Success + "Server-Leaving: 1\r\n"},
        leaving_case{"failure", "HTTP/1.1 500 Failed\r\nServer-Leaving: 1\r\n"},
        leaving_case{"refusal", Refusal + "Server-Leaving: 1\r\n"},
        leaving_case{"other_target",
                     "HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\n"},
        leaving_case{"unsigned_success",
                     "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"}),
    [](const auto &Info) { return Info.param.Name; });

TEST(refusing_target, gets_no_request_until_the_time_that_it_named) {
  std::atomic<unsigned> Answered = 0;
  scripted_target Target(
      answersFirstWith(Refusal + "Retry-After: 3\r\n", Answered));
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  const auto Start = steady_clock::now();
  Traffic.call("POST", "/once", "body");
  EXPECT_EQ(Traffic.call("POST", "/once", "body").Status, 503);
  EXPECT_EQ(Traffic.call("POST", "/keyed?key=1", "body").Status, 503);
  EXPECT_EQ(Target.requests(), 1U);
  std::this_thread::sleep_until(Start + milliseconds(3300));
  EXPECT_EQ(Traffic.call("POST", "/once", "body").Status, 200);
}

// Its slots may move, but the target itself wants nothing for longer than the
// caller waits.
TEST(refusing_target, makes_no_caller_of_its_keys_wait_in_vain) {
  std::atomic<unsigned> Answered = 0;
  scripted_target Target(
      answersFirstWith(Refusal + "Retry-After: 30\r\n", Answered));
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  Traffic.call("POST", "/once", "body");
  const auto Start = steady_clock::now();
  const auto Answer = Traffic.call("GET", "/keyed?key=1");
  EXPECT_EQ(Answer.Status, 503);
  EXPECT_LT(steady_clock::now() - Start, milliseconds(400));
}

} // namespace
} // namespace pomelo::platform
