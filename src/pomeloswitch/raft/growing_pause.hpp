//! The pause between attempts that may fail for long.
#ifndef POMELOSWITCH_RAFT_GROWING_PAUSE_HPP
#define POMELOSWITCH_RAFT_GROWING_PAUSE_HPP

#include <algorithm>
#include <chrono>

namespace pomelo {

//! Doubles from \p First to \p Longest until it is reset.
class growing_pause {
public:
  growing_pause(std::chrono::milliseconds First,
                std::chrono::milliseconds Longest)
      : First(First), Longest(Longest), Next(First) {}

  //! Returns the pause before the next attempt.
  std::chrono::milliseconds take() {
    const std::chrono::milliseconds Taken = Next;
    Next = std::min(2 * Next, Longest);
    return Taken;
  }
  void reset() { Next = First; }

private:
  std::chrono::milliseconds First;
  std::chrono::milliseconds Longest;
  std::chrono::milliseconds Next;
};

} // namespace pomelo

#endif
