//! Requests that were running when a target's process ended.
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

//! How long and how many requests are remembered.
struct crash_limits {
  std::uint64_t SuspectMs = 3600 * 1000;     //!< After one crash.
  std::uint64_t PoisonMs = 24 * 3600 * 1000; //!< After more than one.
  std::size_t Requests = 4096;
};

//! Part of the replicated state: deterministic, time comes in from the log.
//!
//! Whatever was running on a target that crashed is suspected; only a request
//! that was there at the crashes of two incarnations is refused from then on.
//! A suspect that runs to its end is cleared, so that a request which only
//! happened to run beside the cause goes free.
class crash_table {
public:
  explicit crash_table(crash_limits Limits = {}) : Limits(Limits) {}

  void report(const wire::report_crash &Report, std::uint64_t NowMs);
  //! Forgets a suspect; what is refused already stays refused.
  void clear(const std::string &Fingerprint);

  [[nodiscard]] bool suspected(std::string_view Fingerprint) const;
  [[nodiscard]] bool poisonous(std::string_view Fingerprint,
                               std::uint64_t NowMs) const;
  [[nodiscard]] std::size_t size() const { return Suspects.size(); }

  void writeTo(wire::state_snapshot &Snapshot) const;
  static crash_table readFrom(const wire::state_snapshot &Snapshot);

private:
  struct suspect {
    std::set<std::string> Crashes; //!< "TARGET#INCARNATION" of each.
    std::uint64_t LastMs = 0;
  };
  using suspect_map = std::map<std::string, suspect, std::less<>>;

  [[nodiscard]] bool expired(const suspect &Suspect, std::uint64_t NowMs) const;
  void forgetOld(std::uint64_t NowMs);

  crash_limits Limits;
  suspect_map Suspects;
};

} // namespace pomelo

#endif
