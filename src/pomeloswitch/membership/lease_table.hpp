//! The leader's record of when each host and target was last heard.
#ifndef POMELOSWITCH_MEMBERSHIP_LEASE_TABLE_HPP
#define POMELOSWITCH_MEMBERSHIP_LEASE_TABLE_HPP

#include "pomeloswitch/state/cluster_state.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
  milliseconds HostLease{1200};   //!< An entry host's right to route.
  milliseconds TargetLease{1200}; //!< A target's right to its slots.
  milliseconds HostForgotten{10000};
  //! A target that is ordered by calls holds its slots by those, so its
  //! announcements only tell that it is there; silence for so long ends its
  //! membership.
  milliseconds CalledTargetForgotten{20000};
  //! It is given new slots only while it was heard this recently.
  milliseconds CalledTargetFresh{2600};
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
  //! Reports in a row, since the leader last saw cause for doubt, in which the
  //! target said that it is not cold.
  unsigned WarmReports = 0;
  //! Rises from report to report of one incarnation; 0 if it is not told.
  std::uint64_t Sequence = 0;
};

//! What a target that is ordered by calls may hold.
struct call_hold {
  std::uint64_t Incarnation = 0;
  //! Until when orders sent so far may let it serve any slot.
  mono_time HeldUntil{};
  std::uint64_t TakenIndex = 0; //!< As in target_status.
  std::uint64_t NotedIndex = 0; //!< Of the state that this was worked out from.
  //! Revoked slots, by service, that it may still serve.
  std::map<std::string, std::set<std::uint32_t>, std::less<>> Unsettled;
  bool Keeps = true;   //!< It is to keep the slots that it has.
  bool Answers = true; //!< It may be given more.
};

struct host_status {
  entry_member Announced;
  std::uint64_t AppliedIndex = 0;
  std::uint64_t QuiescedIndex = 0;
  std::uint64_t ConfigVersion = 0;
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

  //! The leader itself was stalled until \p Now and may have heartbeats unread:
  //! every member counts as heard just now.
  void noteStall(mono_time Now);

  //! Records a heartbeat. A new incarnation is refused, and false returned,
  //! while the lease of the one before may still run; an older one always.
  //! The indexes are taken no further than \p CommitIndex, nor the quiesced
  //! one further than the applied one.
  bool hostHeard(host_status Status, std::uint64_t CommitIndex);
  //! Records an announcement, by the same rule for incarnations. One that was
  //! overtaken by a later one tells nothing new; false is returned.
  bool targetHeard(const target_status &Status, std::uint64_t CommitIndex);

  //! Records what the calls to a target have come to.
  void noteHold(const std::string &TargetId, const call_hold &Hold);
  //! The reports of the domain's targets so far do not tell whether they are
  //! cold.
  void doubtWarmth(std::string_view FailureDomain);

  //! When the member was last heard; members that joined by an entry of an
  //! earlier term count from the beginning of this one.
  [[nodiscard]] mono_time hostHeardAt(std::string_view HostId) const;
  [[nodiscard]] mono_time targetHeardAt(std::string_view TargetId) const;

  [[nodiscard]] bool hostExpired(std::string_view HostId, mono_time Now) const;
  [[nodiscard]] bool targetExpired(std::string_view TargetId,
                                   mono_time Now) const;

  //! Whether the target cannot hold any slot any more.
  [[nodiscard]] bool targetLetGo(const target_member &Target,
                                 mono_time Now) const;
  //! Whether the target is to keep what it owns.
  [[nodiscard]] bool targetKeeps(const target_member &Target,
                                 mono_time Now) const;
  //! Whether the target may be given more slots.
  [[nodiscard]] bool targetReceives(const target_member &Target,
                                    mono_time Now) const;
  //! Up to which log index the target has taken over what it was granted.
  [[nodiscard]] std::uint64_t takenIndex(const target_member &Target) const;
  //! Whether the owner of a slot that was revoked at \p RevokeIndex surely
  //! starts no more work on it, and has none under way.
  [[nodiscard]] bool slotLetGo(const target_member &Owner,
                               std::string_view Service, std::uint32_t Slot,
                               std::uint64_t RevokeIndex) const;

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
  [[nodiscard]] const call_hold *findHold(const target_member &Target) const;

  lease_times Times;
  mono_time TermStartedAt{};
  std::map<std::string, host_status, std::less<>> Hosts;
  std::map<std::string, target_status, std::less<>> Targets;
  std::map<std::string, call_hold, std::less<>> Holds;
};

} // namespace pomelo

#endif
