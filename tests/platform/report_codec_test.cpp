#include "platform/report_codec.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace pomelo::platform {
namespace {

std::string makeReport(std::string_view Born = "1764835200000",
                       std::string_view State = "\"ready\"",
                       std::string_view Cold = "0") {
  return fmt::format(
      R"({{"address": "10.0.0.1:8080", "born": {},
          "information": {{"service": "s", "version": "v1", "zone": "a",
                           "slots": 4}},
          "status": {{"state": {}, "sequence": 7,
                      "cold_remaining_s": {}}}}})",
      Born, State, Cold);
}

TEST(target_report, is_read_into_the_products_terms) {
  const auto Report = readReport("i-1", makeReport());
  EXPECT_EQ(Report.Target.TargetId, "i-1");
  EXPECT_EQ(Report.Target.Service, "s");
  EXPECT_EQ(Report.Target.FailureDomain, "a");
  EXPECT_EQ(Report.Target.Address, "10.0.0.1:8080");
  EXPECT_EQ(Report.Target.Slots, 4U);
  EXPECT_EQ(Report.Target.Incarnation, 1764835200000U);
  EXPECT_TRUE(Report.Target.OrderedByCall);
  EXPECT_FALSE(Report.Target.Leaving);
  EXPECT_FALSE(Report.Target.Cold);
  EXPECT_EQ(Report.Sequence, 7U);
}

TEST(target_report, tells_of_leaving_and_cold_targets) {
  const auto Report = readReport("i-1", makeReport("1", "\"draining\"", "1.5"));
  EXPECT_TRUE(Report.Target.Leaving);
  EXPECT_TRUE(Report.Target.Cold);
}

class unreadable_report : public testing::TestWithParam<std::string> {};

TEST_P(unreadable_report, is_refused) {
  try {
    readReport("i-1", GetParam());
    FAIL() << "an invalid report was accepted";
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), error_kind::BadRequest);
  }
}

INSTANTIATE_TEST_SUITE_P(
    each, unreadable_report,
    testing::Values("", "[]", "{\"address\": ", "\xff\xfe", "{}",
                    makeReport("\"soon\""), makeReport("1.5"), makeReport("-1"),
                    makeReport("1", "\"asleep\""), makeReport("1", "3"),
                    makeReport("1", "\"ready\"", "\"x\"")));

TEST(leave_request, may_name_the_process_start) {
  EXPECT_EQ(readLeaveRequest(""), std::nullopt);
  EXPECT_EQ(readLeaveRequest("{}"), std::nullopt);
  EXPECT_EQ(readLeaveRequest(R"({"born": 12})"), 12U);
}

} // namespace
} // namespace pomelo::platform
