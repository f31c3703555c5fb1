#include "pomeloswitch/entry/speed_changes.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

response_times timesOf(unsigned Targets) {
  response_times Times;
  for (unsigned Number = 0; Number < Targets; ++Number)
    Times["t" + std::to_string(Number)] = 0.1;
  return Times;
}

TEST(speed_changes, are_reported_at_once) {
  speed_changes Changes;
  response_times Latest = timesOf(3);
  EXPECT_EQ(Changes.take(Latest), Latest);
  Latest["t1"] = 0.2;
  EXPECT_EQ(Changes.take(Latest).at("t1"), 0.2);
}

//! A new leader was told nothing of the times that have not changed since.
TEST(speed_changes, tell_a_new_leader_all_times_at_a_part_of_the_cost) {
  constexpr unsigned Targets = 372;
  speed_changes Changes;
  const response_times Latest = timesOf(Targets);
  Changes.take(Latest);
  response_times Told;
  for (std::size_t Report = 0; Report < speed_changes::RepeatEvery; ++Report) {
    const response_times Taken = Changes.take(Latest);
    EXPECT_LE(Taken.size(), Targets / speed_changes::RepeatEvery + 1);
    Told.insert(Taken.begin(), Taken.end());
  }
  EXPECT_EQ(Told, Latest);
}

} // namespace
} // namespace pomelo
