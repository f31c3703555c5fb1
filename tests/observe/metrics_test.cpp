#include "pomeloswitch/observe/metrics.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST(latency_histogram, a_quantile_is_within_one_bucket_of_the_value) {
  latency_histogram Histogram;
  for (int Count = 0; Count < 99; ++Count)
    Histogram.add(milliseconds(1));
  Histogram.add(milliseconds(100));
  EXPECT_NEAR(Histogram.quantileSeconds(0.5), 0.001, 0.0003);
  EXPECT_NEAR(Histogram.quantileSeconds(0.999), 0.1, 0.03);
}

TEST(latency_histogram, durations_outside_the_range_still_count) {
  latency_histogram Histogram;
  Histogram.add(microseconds(1));
  Histogram.add(std::chrono::hours(1));
  EXPECT_EQ(Histogram.count(), 2U);
  EXPECT_EQ(Histogram.cumulative().front().second, 1U);
  EXPECT_EQ(Histogram.cumulative().back().second, 1U);
}

TEST(metric_set, series_are_counted_by_their_labels) {
  metric_set Set;
  Set.increment("requests_total", {{"service", "archive"}});
  Set.increment("requests_total", {{"service", "archive"}});
  Set.increment("requests_total", {{"service", "registry"}});
  EXPECT_EQ(Set.counter("requests_total", {{"service", "archive"}}), 2U);
  EXPECT_NE(Set.text().find("requests_total{service=\"registry\"} 1\n"),
            std::string::npos);
}

TEST(metric_set, series_beyond_the_bound_share_one) {
  metric_set Set;
  for (std::size_t Number = 0; Number < 2 * metric_set::MaxSeriesPerName;
       ++Number)
    Set.increment("requests_total", {{"account", std::to_string(Number)}});
  EXPECT_EQ(Set.counter("requests_total", {{"account", "other"}}),
            metric_set::MaxSeriesPerName);
}

TEST(metric_set, merging_adds_counters_and_histograms) {
  metric_set First;
  metric_set Second;
  First.increment("requests_total");
  Second.increment("requests_total");
  First.observe("latency_seconds", {}, milliseconds(1));
  Second.observe("latency_seconds", {}, milliseconds(2));
  First.merge(Second);
  EXPECT_EQ(First.counter("requests_total"), 2U);
  EXPECT_NE(First.text().find("latency_seconds_count 2\n"), std::string::npos);
}

TEST(metric_set, label_values_cannot_break_the_text_format) {
  metric_set Set;
  Set.increment("requests_total", {{"account", "a\"b\\c\nd"}});
  EXPECT_NE(Set.text().find("{account=\"a\\\"b\\\\c\\nd\"} 1\n"),
            std::string::npos);
}

} // namespace
} // namespace pomelo
