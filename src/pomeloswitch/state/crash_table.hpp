//! Requests that were running when a target crashed.
#ifndef POMELOSWITCH_STATE_CRASH_TABLE_HPP
#define POMELOSWITCH_STATE_CRASH_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace pomelo::wire {
class report_crash;
class state_snapshot;
} // namespace pomelo::wire

namespace pomelo {

//! Limits on the number and age of stored requests.
struct crash_limits {
  //! Retention after one crash, ms.
  std::uint64_t SuspectRetentionMs = 3600 * 1000;
  //! Retention after two or more crashes, ms.
  std::uint64_t PoisonRetentionMs = 24 * 3600 * 1000;
  std::size_t MaxRequests = 4096;
};

//! Identifies poison requests. Part of the replicated state: changes are
//! deterministic, and the time is taken from the log.
//!
//! Every request that was running on a target when it crashed is a suspect. A
//! request that was running at the crashes of two incarnations is poison and is
//! refused from then on. A suspect that runs to completion is cleared, so that
//! a request that only ran beside the cause of a crash is not refused later.
class crash_table {
public:
  explicit crash_table(crash_limits Limits = {}) : Limits(Limits) {}

  //! Records that the request was running when an incarnation crashed.
  void report(const wire::report_crash &Report, std::uint64_t NowMs);
  //! Removes a suspect. A poison request remains refused.
  void clear(const std::string &Fingerprint);

  //! Whether a crash of this incarnation is recorded. No request may be sent to
  //! it then.
  [[nodiscard]] bool hasCrashed(std::string_view TargetId,
                                std::uint64_t Incarnation) const;

  //! Whether a crash is recorded for the request, poison or not.
  [[nodiscard]] bool isSuspect(std::string_view Fingerprint) const;
  //! Whether the request must be refused at time \p NowMs.
  [[nodiscard]] bool isPoison(std::string_view Fingerprint,
                              std::uint64_t NowMs) const;
  [[nodiscard]] std::size_t size() const { return Suspects.size(); }

  void writeTo(wire::state_snapshot &Snapshot) const;
  static crash_table readFrom(const wire::state_snapshot &Snapshot);

private:
  struct suspect {
    std::set<std::string> Crashes; //!< As "TARGET#INCARNATION".
    std::uint64_t LastMs = 0;
  };
  using suspect_map = std::map<std::string, suspect, std::less<>>;

  [[nodiscard]] bool isExpired(const suspect &Suspect,
                               std::uint64_t NowMs) const;
  void makeRoom(std::uint64_t NowMs);

  crash_limits Limits;
  suspect_map Suspects;
};

} // namespace pomelo

#endif
