//! Leases that an entry host was granted but may not use yet.
#ifndef POMELOSWITCH_ENTRY_PENDING_LEASES_HPP
#define POMELOSWITCH_ENTRY_PENDING_LEASES_HPP

#include "pomeloswitch/clock/lease_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace pomelo {

//! A lease counts only once the host has applied everything that was committed
//! when the leader granted it. Each lease waits for its own index, so that a
//! host that follows a steady stream of commits with some delay has a lease.
class pending_leases {
public:
  //! Adds a lease that counts once \p CommitIndex is applied. Ignored if it
  //! does not end later than all added before.
  void add(std::uint64_t CommitIndex, lease_time Until, lease_time Now);

  //! Removes the leases that count at \p AppliedIndex and returns the end of
  //! the latest, or nothing if there is none.
  std::optional<lease_time> take(std::uint64_t AppliedIndex);

  //! Whether the leader has committed more than \p AppliedIndex, and no lease
  //! vouches for that state any more.
  [[nodiscard]] bool outdated(std::uint64_t AppliedIndex,
                              lease_time Now) const {
    return LatestIndex > AppliedIndex && TakenUntil <= Now;
  }

  //! Log index that the lease granted last waits for.
  [[nodiscard]] std::uint64_t latestIndex() const { return LatestIndex; }

private:
  struct lease {
    std::uint64_t CommitIndex = 0;
    lease_time Until;
  };

  std::deque<lease> Leases; //!< Ordered by index and by end.
  std::uint64_t LatestIndex = 0;
  lease_time LatestEnd{};
  lease_time TakenUntil{}; //!< End of the latest lease that counts.
};

} // namespace pomelo

#endif
