#include "pomeloswitch/observe/trace.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <fstream>

namespace pomelo {
namespace {

constexpr std::string_view TraceId = "0af7651916cd43dd8448eb211c80319c";
constexpr std::string_view SpanId = "b7ad6b7169203331";

trace_span makeTestSpan() {
  trace_span Span;
  Span.TraceId = TraceId;
  Span.SpanId = SpanId;
  Span.Name = "entry";
  Span.Attributes = {{"pomelo.target", "archive-1"}};
  return Span;
}

TEST(trace_parent, formatted_context_is_parsed_back) {
  const auto Context =
      parseTraceParent(formatTraceParent(TraceId, SpanId, true));
  EXPECT_EQ(Context.TraceId, TraceId);
  EXPECT_EQ(Context.ParentSpanId, SpanId);
  EXPECT_TRUE(Context.Sampled);
}

class bad_trace_parent : public testing::TestWithParam<std::string> {};

TEST_P(bad_trace_parent, is_rejected) {
  EXPECT_TRUE(parseTraceParent(GetParam()).TraceId.empty());
}

INSTANTIATE_TEST_SUITE_P(
    each_fault, bad_trace_parent,
    testing::Values("", "00",
                    "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                    "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                    "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                    "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                    "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01"));

TEST(span_sink, writes_spans_as_otlp_json) {
  const std::string Path = testing::TempDir() + "span_sink_form.jsonl";
  std::remove(Path.c_str());
  span_sink Sink("pomelo-entry", "e1", Path);
  Sink.add(makeTestSpan());
  Sink.flush();
  std::ifstream File(Path);
  std::string Line;
  ASSERT_TRUE(std::getline(File, Line));
  const auto Parsed = boost::json::parse(Line);
  const auto &Span =
      Parsed.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").at(0);
  EXPECT_EQ(Span.at("traceId").as_string(), TraceId);
  EXPECT_EQ(Span.at("name").as_string(), "entry");
}

TEST(span_sink, drops_and_counts_spans_beyond_its_bound) {
  span_sink Sink("pomelo-entry", "e1", testing::TempDir() + "span_sink_bound");
  for (std::size_t Count = 0; Count < span_sink::MaxPending + 3; ++Count)
    Sink.add(makeTestSpan());
  EXPECT_EQ(Sink.dropped(), 3U);
}

} // namespace
} // namespace pomelo
