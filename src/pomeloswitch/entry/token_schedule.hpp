//! When an entry host asks the leader for tokens between two heartbeats.
#ifndef POMELOSWITCH_ENTRY_TOKEN_SCHEDULE_HPP
#define POMELOSWITCH_ENTRY_TOKEN_SCHEDULE_HPP

#include <algorithm>
#include <cstdint>

namespace pomelo {

//! Asks at once, unless the leader has yet to answer the latest message that
//! reports quotas. What is wanted meanwhile is asked for together after that,
//! so the leader gets fewer messages the later it answers.
class token_schedule {
public:
  void want() { Wanted = true; }
  //! Records that a heartbeat or a token request was sent. Both have numbers
  //! from the same series.
  void sent(std::uint64_t Sequence) {
    SentSequence = Sequence;
    Wanted = false;
  }
  void answered(std::uint64_t Sequence) {
    AnsweredSequence = std::max(AnsweredSequence, Sequence);
  }
  //! Records that there is nothing to ask for.
  void clear() { Wanted = false; }
  [[nodiscard]] bool due() const {
    return Wanted && AnsweredSequence >= SentSequence;
  }

private:
  std::uint64_t SentSequence = 0;
  std::uint64_t AnsweredSequence = 0;
  bool Wanted = false;
};

} // namespace pomelo

#endif
