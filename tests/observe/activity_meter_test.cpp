#include "pomeloswitch/observe/activity_meter.hpp"

#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include <array>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 2> Names{"plan", "heartbeat"};

TEST(activity_meter, reports_only_what_ran_since_the_last_report) {
  activity_meter Meter(Names);
  Meter.add(0, milliseconds(3));
  Meter.add(0, milliseconds(4));
  EXPECT_EQ(boost::json::serialize(Meter.takeReport()),
            R"({"plan":{"count":2,"busy_ms":7}})");
  Meter.add(1, milliseconds(5));
  EXPECT_EQ(boost::json::serialize(Meter.takeReport()),
            R"({"heartbeat":{"count":1,"busy_ms":5}})");
}

TEST(activity_meter, exports_totals_since_the_start) {
  activity_meter Meter(Names);
  Meter.add(1, milliseconds(500));
  static_cast<void>(Meter.takeReport());
  Meter.add(1, milliseconds(500));
  metric_set Metrics;
  Meter.exportTo(Metrics);
  EXPECT_NE(
      Metrics.text().find(R"(pomelo_activity_count{activity="heartbeat"} 2)"),
      std::string::npos)
      << Metrics.text();
  EXPECT_NE(
      Metrics.text().find(R"(pomelo_activity_seconds{activity="heartbeat"} 1)"),
      std::string::npos)
      << Metrics.text();
}

} // namespace
} // namespace pomelo
