//! Proposals that an entry host has sent and that await the leader's answer.
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

class proposal_table {
public:
  using time_point = std::chrono::steady_clock::time_point;
  //! Called once, with null if no answer came in time.
  using completion = std::function<void(const wire::proposal_result *)>;

  //! Returns the request id of the new proposal.
  std::uint64_t add(completion Done, time_point Deadline);

  //! Completes the proposal that \p Result answers, if it still waits.
  void complete(const wire::proposal_result &Result);

  //! Gives up what has waited beyond its deadline.
  void expire(time_point Now);

  [[nodiscard]] bool empty() const { return Waiting.empty(); }

private:
  struct waiting_proposal {
    completion Done;
    time_point Deadline;
  };

  std::uint64_t NextId = 1;
  std::map<std::uint64_t, waiting_proposal> Waiting;
};

} // namespace pomelo

#endif
