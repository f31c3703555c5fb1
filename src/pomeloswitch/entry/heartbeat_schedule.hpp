//! When an entry host sends its next heartbeat.
#ifndef POMELOSWITCH_ENTRY_HEARTBEAT_SCHEDULE_HPP
#define POMELOSWITCH_ENTRY_HEARTBEAT_SCHEDULE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pomelo {

//! Intervals of the heartbeats.
struct heartbeat_times {
  std::chrono::milliseconds Regular{200}; //!< Without a reason to hurry.
  //! Least time between two heartbeats of a host, for each entry host, so that
  //! the rate at which the leader gets them does not grow with the hosts.
  std::chrono::milliseconds MinimumPerHost{1};
  //! From a reason to hurry to the heartbeat, so that it covers several.
  std::chrono::milliseconds PromptDelay{5};
  //! Without an answer for this long, the leader counts as lost.
  std::chrono::milliseconds LeaderTimeout{400};
};

//! A heartbeat may be wanted ahead of the regular interval. A leader that has
//! not answered the latest one gets only the regular ones: what waits there
//! would make its answers later still.
class heartbeat_schedule {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit heartbeat_schedule(heartbeat_times Times = {}) : Times(Times) {}

  //! Sets how many entry hosts share the leader.
  void setHostCount(std::size_t Count) { Hosts = Count; }
  //! Asks for a heartbeat ahead of the regular interval.
  void want(time_point Now);
  //! Records that the heartbeat with the number \p Sequence was sent.
  void sent(std::uint64_t Sequence, time_point Now);
  //! Records the leader's answer to the heartbeat with the number \p Sequence.
  void answered(std::uint64_t Sequence, time_point Now);

  [[nodiscard]] time_point due() const { return Due; }
  [[nodiscard]] bool leaderKnown(time_point Now) const;
  [[nodiscard]] time_point answeredAt() const { return AnsweredAt; }

private:
  heartbeat_times Times;
  std::size_t Hosts = 1;
  time_point Due{};
  time_point SentAt{};
  time_point AnsweredAt{};
  std::uint64_t SentSequence = 0;
  std::uint64_t AnsweredSequence = 0;
  bool Wanted = false; //!< Once the latest heartbeat has been answered.
};

} // namespace pomelo

#endif
