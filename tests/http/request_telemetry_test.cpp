#include "pomeloswitch/http/request_telemetry.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace pomelo {
namespace {

constexpr std::string_view Incoming =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

class request_telemetry_test : public testing::Test {
protected:
  std::mt19937_64 Random{42};
  metric_set Metrics;
};

TEST_F(request_telemetry_test, the_target_sees_this_hop_as_its_parent) {
  const request_telemetry Telemetry(Incoming, Random);
  const auto Outgoing = parseTraceParent(Telemetry.traceParentForTarget());
  EXPECT_EQ(Outgoing.TraceId, parseTraceParent(Incoming).TraceId);
  EXPECT_NE(Outgoing.ParentSpanId, parseTraceParent(Incoming).ParentSpanId);
}

TEST_F(request_telemetry_test, a_trace_begins_where_none_came_in) {
  const request_telemetry Telemetry("nonsense", Random);
  EXPECT_FALSE(
      parseTraceParent(Telemetry.traceParentForTarget()).TraceId.empty());
}

TEST_F(request_telemetry_test, a_request_is_counted_by_its_outcome) {
  request_telemetry Answered(Incoming, Random);
  Answered.routed("read", "archive", "large");
  Answered.close(Metrics, nullptr);
  request_telemetry Refused(Incoming, Random);
  Refused.routed("read", "archive", "large");
  Refused.failed(error_kind::RateExceeded);
  Refused.close(Metrics, nullptr);
  EXPECT_EQ(Metrics.counter("pomelo_requests_total", {{"account", "large"},
                                                      {"outcome", "ok"},
                                                      {"service", "archive"}}),
            1U);
  EXPECT_EQ(
      Metrics.counter("pomelo_requests_total", {{"account", "large"},
                                                {"outcome", "rate_exceeded"},
                                                {"service", "archive"}}),
      1U);
}

TEST_F(request_telemetry_test, the_span_carries_the_decision) {
  const std::string Path = testing::TempDir() + "request_record_span.jsonl";
  std::remove(Path.c_str());
  span_sink Spans("pomelo-entry", "e1", Path);
  request_telemetry Telemetry(Incoming, Random);
  Telemetry.routed("read", "archive", "large");
  Telemetry.slotResolved(7);
  Telemetry.dispatched("archive-1");
  Telemetry.close(Metrics, &Spans);
  Spans.flush();
  std::ifstream File(Path);
  std::string Line;
  ASSERT_TRUE(std::getline(File, Line));
  for (const std::string Expected :
       {"archive-1", "pomelo.slot", "b7ad6b7169203331"})
    EXPECT_NE(Line.find(Expected), std::string::npos) << Expected;
}

} // namespace
} // namespace pomelo
