#include "platform/platform_dialect.hpp"

#include <gtest/gtest.h>

namespace pomelo::platform {
namespace {

namespace http = boost::beast::http;

request_header makeCallerHeader() {
  request_header Header;
  Header.method(http::verb::get);
  Header.target("/a/1?x=2");
  Header.set(http::field::host, "h.example");
  Header.set(http::field::authorization, "Bearer secret");
  Header.set("X-Request-Id", "id-1");
  Header.set("X-Deadline-Milliseconds", "1500");
  Header.set("X-Tenant", "somebody-else");
  Header.set("X-Shard-Key", "77");
  return Header;
}

TEST(platform_dialect, sets_the_reserved_header_fields_for_the_target) {
  dispatch_metadata Facts;
  Facts.Account = "t";
  Facts.TargetId = "i-1";
  Facts.TimeLeft = std::chrono::milliseconds(321);
  const auto Header =
      platform_dialect().headerForTarget(makeCallerHeader(), Facts);
  EXPECT_EQ(Header.count(http::field::authorization), 0U);
  EXPECT_EQ(Header["X-Tenant"], "t");
  EXPECT_EQ(Header["X-Expected-Instance"], "i-1");
  EXPECT_EQ(Header["X-Deadline-Milliseconds"], "321");
  EXPECT_EQ(Header["X-Request-Id"], "id-1");
  EXPECT_EQ(Header["X-Shard-Key"], "77");
  EXPECT_EQ(Header.target(), "/a/1?x=2");
}

TEST(platform_dialect, drops_an_account_that_the_caller_claims) {
  const auto Header =
      platform_dialect().headerForTarget(makeCallerHeader(), {});
  EXPECT_EQ(Header.count("X-Tenant"), 0U);
}

TEST(platform_dialect, reads_how_long_the_caller_waits) {
  request_header Header = makeCallerHeader();
  EXPECT_EQ(platform_dialect().timeoutOf(Header),
            std::chrono::milliseconds(1500));
  Header.set("X-Deadline-Milliseconds", "soon");
  EXPECT_EQ(platform_dialect().timeoutOf(Header), std::nullopt);
}

using header_fields = std::vector<std::pair<std::string, std::string>>;

//! What is read of an answer to the request "id-1".
response_metadata factsOf(unsigned Status, const header_fields &Fields) {
  response_header Header;
  Header.result(Status);
  for (const auto &[Name, Value] : Fields)
    Header.set(Name, Value);
  return platform_dialect().parseMetadata(Header, "id-1");
}

struct answer_case {
  std::string Name;
  unsigned Status = 200;
  header_fields Fields;
  bool NotRun = false;
  bool OtherRequest = false;
  bool Authentic = true;
  bool NamesRequest = true;
};

void PrintTo(const answer_case &Case, std::ostream *Out) { *Out << Case.Name; }

class platform_answer : public testing::TestWithParam<answer_case> {};

TEST_P(platform_answer, is_classified_by_status_and_header) {
  const response_metadata Facts = factsOf(GetParam().Status, GetParam().Fields);
  EXPECT_EQ(Facts.NotRun, GetParam().NotRun);
  EXPECT_EQ(Facts.OtherRequest, GetParam().OtherRequest);
  EXPECT_EQ(Facts.Authentic, GetParam().Authentic);
  EXPECT_EQ(Facts.NamesRequest, GetParam().NamesRequest);
}

INSTANTIATE_TEST_SUITE_P(
    each, platform_answer,
    testing::Values(
        answer_case{"signed_success",
                    200,
                    {{"X-Request-Id", "id-1"}, {"X-Response-Signature", "s"}}},
        answer_case{"unsigned_success",
                    200,
                    {{"X-Request-Id", "id-1"}},
                    false,
                    false,
                    false},
        answer_case{"unsigned_success_without_a_name",
                    299,
                    {{"X-Request-Id", "id-1"}},
                    false,
                    false,
                    false},
        answer_case{"success_of_another",
                    200,
                    {{"X-Request-Id", "id-2"}, {"X-Response-Signature", "s"}},
                    false,
                    true},
        answer_case{"shed",
                    503,
                    {{"X-Request-Id", "id-1"}, {"X-Not-Executed", "1"}},
                    true},
        answer_case{"nameless_shed",
                    503,
                    {{"X-Not-Executed", "1"}},
                    true,
                    false,
                    true,
                    false},
        answer_case{"other_target", 421, {}, true, false, true, false},
        answer_case{"failure_that_ran", 503, {}, false, false, true, false}),
    [](const auto &Info) { return Info.param.Name; });

TEST(platform_dialect, reads_the_load_with_and_without_the_slowdown) {
  response_header Header;
  Header.set("X-Server-Load", "3,1,8,250");
  const auto Load = platform_dialect().parseMetadata(Header, "").Load;
  ASSERT_TRUE(Load);
  EXPECT_EQ(Load->Running, 3);
  EXPECT_EQ(Load->Waiting, 1);
  EXPECT_EQ(Load->Slots, 8);
  EXPECT_EQ(Load->Slowdown, 2.5);
  Header.set("X-Server-Load", "3,0,8");
  EXPECT_EQ(platform_dialect().parseMetadata(Header, "").Load->Slowdown, 1);
  Header.set("X-Server-Load", "much");
  EXPECT_FALSE(platform_dialect().parseMetadata(Header, "").Load);
}

class odd_load : public testing::TestWithParam<std::string> {};

TEST_P(odd_load, is_no_load) {
  EXPECT_FALSE(factsOf(200, {{"X-Server-Load", GetParam()}}).Load);
}

INSTANTIATE_TEST_SUITE_P(each, odd_load,
                         testing::Values("", "nan,0,8", "0,nan,8", "0,0,nan",
                                         "0,0,8,nan", "inf,0,8", "0,inf,8",
                                         "0,0,inf", "0,0,8,inf", "-1,0,8",
                                         "0,-1,8", "0,0,-8", "0,0,8,-100",
                                         "1e308,1e308,8", "1e999,0,8", "1,0",
                                         "\xff,0,8"));

class odd_time_left : public testing::TestWithParam<std::string> {};

TEST_P(odd_time_left, names_no_time) {
  request_header Header = makeCallerHeader();
  Header.set("X-Deadline-Milliseconds", GetParam());
  EXPECT_EQ(platform_dialect().timeoutOf(Header), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(each, odd_time_left,
                         testing::Values("", "nan", "-nan", "inf", "-1",
                                         "1e308", "1e999",
                                         "18446744073709551616", "1,5", "+1"));

struct notice_case {
  std::string Name;
  unsigned Status = 503;
  header_fields Fields;
  bool Leaving = false;
  std::chrono::milliseconds WantsNothingFor{0};
};

void PrintTo(const notice_case &Case, std::ostream *Out) { *Out << Case.Name; }

class platform_notice : public testing::TestWithParam<notice_case> {};

TEST_P(platform_notice, is_read_from_the_answer) {
  const response_metadata Facts = factsOf(GetParam().Status, GetParam().Fields);
  EXPECT_EQ(Facts.TargetLeaving, GetParam().Leaving);
  EXPECT_EQ(Facts.WantsNothingFor, GetParam().WantsNothingFor);
}

INSTANTIATE_TEST_SUITE_P(
    each, platform_notice,
    testing::Values(
        notice_case{"leaving", 200, {{"Server-Leaving", "1"}}, true},
        notice_case{"staying", 200, {{"Server-Leaving", "0"}}},
        notice_case{"pause",
                    503,
                    {{"Retry-After", "2"}},
                    false,
                    std::chrono::milliseconds(2000)},
        notice_case{"pause_with_a_fraction",
                    503,
                    {{"Retry-After", "0.25"}},
                    false,
                    std::chrono::milliseconds(250)},
        notice_case{"endless_pause",
                    503,
                    {{"Retry-After", "1e300"}},
                    false,
                    std::chrono::minutes(10)},
        notice_case{"negative_pause", 503, {{"Retry-After", "-1"}}},
        notice_case{"pause_that_is_no_number", 503, {{"Retry-After", "nan"}}},
        notice_case{"pause_of_another_status", 429, {{"Retry-After", "2"}}}),
    [](const auto &Info) { return Info.param.Name; });

struct refusal_case {
  error_kind Kind;
  unsigned Status;
  bool HasRetryAfter;
};

class platform_refusal : public testing::TestWithParam<refusal_case> {};

TEST_P(platform_refusal, promises_not_run_only_where_that_is_so) {
  const auto Answer = platform_dialect().errorResponse(
      pomelo_error(GetParam().Kind, "why"), 11);
  EXPECT_EQ(Answer.result_int(), GetParam().Status);
  EXPECT_EQ(Answer.count(http::field::retry_after) > 0,
            GetParam().HasRetryAfter);
}

INSTANTIATE_TEST_SUITE_P(
    each, platform_refusal,
    testing::Values(refusal_case{error_kind::RateExceeded, 429, true},
                    refusal_case{error_kind::Overloaded, 503, true},
                    refusal_case{error_kind::UpstreamFailed, 503, true},
                    refusal_case{error_kind::DeadlineExceeded, 503, true},
                    refusal_case{error_kind::PoisonRequest, 503, true},
                    refusal_case{error_kind::OutcomeUnknown, 502, false},
                    refusal_case{error_kind::NoRoute, 404, false},
                    refusal_case{error_kind::Unauthenticated, 401, false}));

} // namespace
} // namespace pomelo::platform
