//! Connections to a target whose share for this host shrinks.
#include "traffic_fixture.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace pomelo {
namespace {

using std::chrono::seconds;

constexpr unsigned ShareBefore = 8;
constexpr unsigned ShareAfter = 2;
constexpr seconds Patience{3};

//! Counts its open connections, and answers once it is told to.
class counting_target {
public:
  counting_target()
      : Target([this](scripted_connection &Connection, unsigned) {
          ++Open;
          while (!Connection.readRequest().empty()) {
            emulator::waitUntil([this] { return Answers.load(); }, Patience);
            Connection.answer("done");
          }
          --Open;
        }) {}

  std::atomic<unsigned> Open{0};
  std::atomic<bool> Answers{false};
  scripted_target Target;
};

using answer_list = std::vector<std::future<emulator::http_answer>>;

answer_list callOften(traffic_fixture &Traffic, unsigned Count) {
  answer_list Answers;
  for (unsigned Number = 0; Number < Count; ++Number)
    Answers.push_back(std::async(std::launch::async, [&Traffic] {
      return Traffic.call("POST", "/unsafe", "body");
    }));
  return Answers;
}

//! With as many slots, so that nothing else bounds the connections.
void setShare(traffic_fixture &Traffic, std::uint32_t Share) {
  Traffic.changeView([Share](routing_view &View) {
    auto Target = std::make_shared<routing_target>(*View.Targets.at("t0"));
    Target->ConnectionShare = Share;
    Target->Member.Slots = 2 * ShareBefore;
    View.Targets["t0"] = Target;
    View.Services.at("s").Targets = {Target};
  });
}

//! Whether requests are under way, or wait for a connection, as it shrinks.
struct shrinking_share_case {
  std::string Name;
  unsigned InUse = 0;
  unsigned Calls = ShareBefore;
};

void PrintTo(const shrinking_share_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class shrinking_share : public testing::TestWithParam<shrinking_share_case> {};

// Guards against hosts that keep the connections of the time in which they were
// few, so that all together hold more than the target allows (LIMIT, issue 37).
TEST_P(shrinking_share, closes_the_connections_beyond_it) {
  counting_target Counting;
  traffic_fixture Traffic(Counting.Target.address(), 1);
  setShare(Traffic, ShareBefore);
  auto Answers = callOften(Traffic, GetParam().Calls);
  ASSERT_TRUE(emulator::waitUntil(
      [&] { return Counting.Target.requests() == ShareBefore; }, Patience));
  if (GetParam().InUse > 0)
    setShare(Traffic, ShareAfter);
  Counting.Answers = true;
  for (auto &Answer : Answers)
    EXPECT_EQ(Answer.get().Status, 200);
  if (GetParam().InUse == 0) {
    EXPECT_EQ(Counting.Open, ShareBefore);
    setShare(Traffic, ShareAfter);
  }
  EXPECT_TRUE(emulator::waitUntil([&] { return Counting.Open <= ShareAfter; },
                                  Patience))
      << Counting.Open << " connections are open";
  EXPECT_EQ(Traffic.call("POST", "/unsafe", "body").Status, 200);
}

INSTANTIATE_TEST_SUITE_P(
    table, shrinking_share,
    testing::Values(shrinking_share_case{"idle"},
                    shrinking_share_case{"in_use", ShareBefore},
                    shrinking_share_case{"in_use_and_waited_for", ShareBefore,
                                         2 * ShareBefore}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
