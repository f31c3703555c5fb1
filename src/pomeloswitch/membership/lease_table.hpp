//! The leader's record of when each host and target was last heard.
#ifndef POMELOSWITCH_MEMBERSHIP_LEASE_TABLE_HPP
#define POMELOSWITCH_MEMBERSHIP_LEASE_TABLE_HPP

#include "pomeloswitch/state/cluster_state.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! Time by a monotonic clock.
using mono_time = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

//! The times that ownership rests on. A lease is counted by its holder from
//! when it sent the message that renews it and by the leader from when it
//! received that message, so the holder's runs out first; MaxClockDrift covers
//! clocks that run at different speeds.
struct lease_times {
  milliseconds HostLease{1500};   //!< An entry host's right to route.
  milliseconds TargetLease{1500}; //!< A target's right to its slots.
  milliseconds HostForgotten{10000};
  double MaxClockDrift = 0.01;

  //! How long the leader waits until a lease of \p Length has surely run out.
  [[nodiscard]] milliseconds surely(milliseconds Length) const {
    return milliseconds(static_cast<milliseconds::rep>(
        static_cast<double>(Length.count()) * (1.0 + MaxClockDrift) + 1.0));
  }
};

//! What a target announced last.
struct target_status {
  target_member Announced;
  std::uint64_t TakenIndex = 0;   //!< Took over its grants up to here.
  std::uint64_t SettledIndex = 0; //!< And has no work left on other slots.
  mono_time HeardAt;
};

struct host_status {
  entry_member Announced;
  std::uint64_t AppliedIndex = 0;
  std::uint64_t QuiescedIndex = 0;
  bool Stopping = false;
  mono_time HeardAt;
  //! When an earlier incarnation was last heard, if there was one.
  std::optional<mono_time> PredecessorHeardAt;
};

class lease_table {
public:
  explicit lease_table(lease_times Times) : Times(Times) {}

  //! Begins a term as leader. Whatever an earlier leader granted may still
  //! run, so every known member counts as heard just now.
  void startTerm(const cluster_state &State, mono_time Now);

  //! Records a heartbeat. A new incarnation is refused, and false returned,
  //! while the lease of the one before may still run; an older one always.
  //! The indexes are taken no further than \p CommitIndex, nor the quiesced
  //! one further than the applied one.
  bool hostHeard(host_status Status, std::uint64_t CommitIndex);
  //! Records an announcement, by the same rule for incarnations.
  bool targetHeard(const target_status &Status, std::uint64_t CommitIndex);

  //! When the member was last heard; members that joined by an entry of an
  //! earlier term count from the beginning of this one.
  [[nodiscard]] mono_time hostHeardAt(std::string_view HostId) const;
  [[nodiscard]] mono_time targetHeardAt(std::string_view TargetId) const;

  [[nodiscard]] bool hostExpired(std::string_view HostId, mono_time Now) const;
  [[nodiscard]] bool targetExpired(std::string_view TargetId,
                                   mono_time Now) const;

  //! Whether no entry host can send or still has in flight a request on a slot
  //! revoked at \p RevokeIndex. An expired host counts once \p InFlight more
  //! time has passed, in which what it sent before has met its deadline.
  [[nodiscard]] bool quiesced(const cluster_state &State,
                              std::uint64_t RevokeIndex, milliseconds InFlight,
                              mono_time Now) const;

  [[nodiscard]] const host_status *findHost(std::string_view HostId) const;
  [[nodiscard]] const target_status *
  findTarget(std::string_view TargetId) const;
  [[nodiscard]] const std::map<std::string, host_status, std::less<>> &
  hosts() const {
    return Hosts;
  }
  [[nodiscard]] const std::map<std::string, target_status, std::less<>> &
  targets() const {
    return Targets;
  }
  //! Drops the records of members that are gone and not heard any more.
  void forgetExpired(const cluster_state &State, mono_time Now);

  //! Whether what earlier incarnations of the host sent, each request allowed
  //! \p InFlight, has surely met its deadline.
  [[nodiscard]] bool predecessorEnded(std::string_view HostId,
                                      milliseconds InFlight,
                                      mono_time Now) const;

  [[nodiscard]] const lease_times &times() const { return Times; }

private:
  lease_times Times;
  mono_time TermStartedAt{};
  std::map<std::string, host_status, std::less<>> Hosts;
  std::map<std::string, target_status, std::less<>> Targets;
};

} // namespace pomelo

#endif
