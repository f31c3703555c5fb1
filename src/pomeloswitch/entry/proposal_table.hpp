//! Proposals of an entry host that await the leader's answer.
#ifndef POMELOSWITCH_ENTRY_PROPOSAL_TABLE_HPP
#define POMELOSWITCH_ENTRY_PROPOSAL_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

namespace pomelo::wire {
class proposal_result;
}

namespace pomelo {

//! Matches the leader's answers to pending proposals by request id.
class proposal_table {
public:
  using time_point = std::chrono::steady_clock::time_point;
  //! Called once, with null if the deadline passes without an answer.
  using completion = std::function<void(const wire::proposal_result *)>;

  //! Adds a proposal and returns its request id.
  std::uint64_t add(completion Done, time_point Deadline);

  //! Completes the proposal that \p Result answers, if it is still pending.
  void complete(const wire::proposal_result &Result);

  //! Completes proposals whose deadline has passed with null.
  void expire(time_point Now);

  [[nodiscard]] bool empty() const { return Pending.empty(); }

private:
  struct pending_completion {
    completion Done;
    time_point Deadline;
  };

  std::uint64_t NextId = 1;
  std::map<std::uint64_t, pending_completion> Pending;
};

} // namespace pomelo

#endif
