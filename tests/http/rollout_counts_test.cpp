//! What the outcomes of requests tell a roll-out.
#include "strict_dialect.hpp"
#include "traffic_fixture.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

const strict_dialect Dialect;

struct outcome_case {
  std::string Name;
  std::string Response; //!< The connection ends after it.
  std::uint64_t Failures = 0;
  std::uint64_t Answers = 0;
  bool Cold = false;
};

void PrintTo(const outcome_case &Case, std::ostream *Out) { *Out << Case.Name; }

class counted_outcome : public testing::TestWithParam<outcome_case> {};

// Guards against a version that loses connections and is not judged by it: the
// loss makes the target count as possibly cold, and the responses of cold
// targets do not count.
TEST_P(counted_outcome, is_reported_once) {
  scripted_target Target([](scripted_connection &Connection, unsigned) {
    Connection.readRequest();
    Connection.write(GetParam().Response);
    Connection.reset();
  });
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  Traffic.changeView([](routing_view &View) {
    routing_service &Service = View.Services["s"];
    Service.Split = {7, "v2", 1};
    auto New = std::make_shared<routing_target>(*Service.Targets.front());
    New->Member.Version = "v2";
    New->Member.Cold = GetParam().Cold;
    Service.Targets = {New};
    View.Targets["t0"] = New;
  });
  Traffic.call("GET", "/once");
  // The outcome is recorded after the response has been passed on.
  outcomes_by_service Counts;
  ASSERT_TRUE(emulator::waitUntil(
      [&] {
        Counts = Traffic.rolloutCounts();
        return Counts.contains("s");
      },
      std::chrono::seconds(2)));
  const service_outcomes &Service = Counts.at("s");
  EXPECT_EQ(Service.StartedIndex, 7U);
  EXPECT_EQ(Service.Requests, 1U);
  EXPECT_EQ(Service.NewRequests, 1U);
  attempt_counts Sum;
  for (const auto &[Key, Outcomes] : Service.Targets)
    Sum += Outcomes.Counts;
  EXPECT_EQ(Sum.Failures, GetParam().Failures);
  EXPECT_EQ(Sum.Answers.total(), GetParam().Answers);
}

INSTANTIATE_TEST_SUITE_P(
    table, counted_outcome,
    testing::Values(
        outcome_case{"lost", "", 1, 0},
        outcome_case{"lost_cold", "", 0, 0, true},
        outcome_case{"server_error",
                     "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", 1, 0}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
