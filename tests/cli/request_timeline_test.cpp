#include "pomeloswitch/cli/request_timeline.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace pomelo {
namespace {

constexpr const char *EntryLog =
    R"({"time_ms":10000,"level":"WARN","part":"entry.control","message":"Control host c1 is silent."}
{"time_ms":10500,"level":"WARN","part":"entry.request","event":"request_failed","request":"r1","service":"s","slot":7,"took_ms":400,"attempts":[{"target":"t1","end":"connection_lost"}],"error":"no_owner","reason":"the key has no owner"}
{"time_ms":10510,"level":"WARN","part":"entry.request","event":"request_failed","request":"r2","service":"s","took_ms":1,"attempts":[],"error":"no_route"}
)";

constexpr const char *ControlLog =
    R"({"time_ms":2000,"level":"INFO","part":"control","event":"slots_revoked","service":"s","slots":"7"}
{"time_ms":9800,"level":"INFO","part":"control","event":"slots_revoked","service":"s","slots":"1-3,5-8"}
{"time_ms":9900,"level":"INFO","part":"control","event":"slots_revoked","service":"s","slots":"8-9"}
{"time_ms":9950,"level":"INFO","part":"control","event":"release_ended","target":"t1","service":"s","slots":"5-8","end":"unreachable"}
{"time_ms":9960,"level":"INFO","part":"control","event":"release_ended","target":"t2","service":"s","slots":"8-8","end":"done"}
{"time_ms":10600,"level":"INFO","part":"control","event":"slots_granted","service":"s","owners":{"t3":"7","t4":"8"}}
)";

request_timeline readTimeline(const std::string &Id, const std::string &Entry,
                              const std::string &Control) {
  request_timeline Timeline(Id);
  std::istringstream EntryStream(Entry);
  Timeline.read(EntryStream, "e1");
  std::istringstream ControlStream(Control);
  Timeline.read(ControlStream, "c1");
  return Timeline;
}

TEST(request_timeline,
     lists_lines_about_its_slot_and_targets_in_order_of_time) {
  const auto Lines = readTimeline("r1", EntryLog, ControlLog).lines();
  std::vector<long long> Times;
  Times.reserve(Lines.size());
  for (const timeline_entry &Line : Lines)
    Times.push_back(Line.TimeMs);
  EXPECT_EQ(Times, (std::vector<long long>{9800, 9950, 10000, 10500, 10600}));
  EXPECT_EQ(Lines.front().Process, "c1");
  EXPECT_NE(Lines[3].Text.find("reason=the key has no owner"),
            std::string::npos);
}

TEST(request_timeline, names_the_cause) {
  EXPECT_TRUE(readTimeline("r1", EntryLog, ControlLog)
                  .conclusion()
                  .starts_with("no_owner: no target owned the key"));
  EXPECT_FALSE(readTimeline("r9", EntryLog, ControlLog).hasRequest());
}

TEST(request_timeline, reports_dropped_and_unreadable_lines) {
  const std::string Damaged =
      std::string(EntryLog) +
      R"({"time_ms":10100,"level":"WARN","part":"entry.request","message":"Discarded 12 messages due to a full event buffer"}
{"time_ms":10200,"lev)";
  const request_timeline Timeline = readTimeline("r1", Damaged, ControlLog);
  ASSERT_EQ(Timeline.dropped().size(), 1U);
  EXPECT_EQ(Timeline.unreadable(), std::vector<std::string>{"e1:5"});
}

TEST(request_timeline, takes_the_process_from_a_collectors_prefix) {
  const auto Lines = readTimeline("r1",
                                  "  10.5 entry-7 " +
                                      std::string(EntryLog).substr(
                                          std::string(EntryLog).find('\n') + 1),
                                  "")
                         .lines();
  ASSERT_EQ(Lines.size(), 1U);
  EXPECT_EQ(Lines.front().Process, "entry-7");
}

} // namespace
} // namespace pomelo
