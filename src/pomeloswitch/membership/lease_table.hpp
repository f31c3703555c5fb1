//! Leases of entry hosts and targets, as tracked by the leader.
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
#include <utility>

namespace pomelo {

//! Time point of the monotonic clock.
using mono_time = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

//! Lease durations and timeouts that exclusive ownership depends on. The holder
//! of a lease measures it from when it sent the renewing message, the leader
//! from when it received that message, so the lease expires at the holder
//! first. MaxClockDrift allows for clocks that run at different speeds.
struct lease_times {
  milliseconds HostLease{1200};   //!< How long an entry host may route.
  milliseconds TargetLease{1200}; //!< How long a target may own its slots.
  //! Minimum silence after which an entry host is removed from the membership.
  milliseconds HostRemovalTimeout{10000};
  //! Silence after which a target that is ordered by calls is removed from the
  //! membership. Calls grant its slots; its announcements only show that it is
  //! running.
  milliseconds CalledTargetTimeout{20000};
  //! A target that is ordered by calls receives new slots only if its last
  //! announcement is not older than this.
  milliseconds CalledTargetMaxSilence{2600};
  double MaxClockDrift = 0.01; //!< As a fraction of the elapsed time.

  //! Returns how long the leader must wait until a lease of \p Duration has
  //! expired at its holder, with the maximum clock drift.
  [[nodiscard]] milliseconds withDrift(milliseconds Duration) const {
    return milliseconds(static_cast<milliseconds::rep>(
        static_cast<double>(Duration.count()) * (1.0 + MaxClockDrift) + 1.0));
  }
};

//! The latest announcement of a target.
struct target_status {
  target_member Announced;
  //! Log index up to which the target has taken over the slots granted to it.
  std::uint64_t TakenIndex = 0;
  //! Log index up to which the target has also ended its work on all slots that
  //! it does not own.
  std::uint64_t SettledIndex = 0;
  mono_time HeardAt;
  //! Number of consecutive reports in which the target was not cold, since the
  //! last call of lease_table::resetWarmReports() for its domain.
  unsigned WarmReports = 0;
  //! Increases with each report of one incarnation; 0 if the report has no
  //! sequence number.
  std::uint64_t Sequence = 0;
};

//! Slot numbers by service.
using slots_by_service =
    std::map<std::string, std::set<std::uint32_t>, std::less<>>;

//! The slots that a target ordered by calls may still serve, and whether it
//! responds.
struct called_target_status {
  std::uint64_t Incarnation = 0;
  //! Time until which the grants sent so far may let it serve any slot.
  mono_time HeldUntil{};
  std::uint64_t TakenIndex = 0; //!< As in target_status.
  std::uint64_t StateIndex = 0; //!< Log index of the state it is derived from.
  //! Revoked slots that it may still serve, by service.
  slots_by_service UnreleasedSlots;
  bool KeepsSlots = true; //!< False if its slots are to be revoked.
  bool Responding = true; //!< False if its latest call failed and it
                          //!< has not been heard from since.
};

//! What grants by calls may still let targets serve that are no longer members.
struct former_holdings {
  slots_by_service Slots;
  std::set<std::string, std::less<>> Holders; //!< Ids of the targets.
};

//! The latest heartbeat of an entry host.
struct host_status {
  entry_member Announced;
  std::uint64_t AppliedIndex = 0; //!< Log index that the host has applied.
  //! Log index up to which the host sends no request on a revoked slot and has
  //! none in flight.
  std::uint64_t QuiescedIndex = 0;
  std::uint64_t ConfigVersion = 0;
  bool Stopping = false;
  mono_time HeardAt;
  //! When the latest earlier incarnation was last heard from, if there was one.
  std::optional<mono_time> PredecessorHeardAt;
};

//! Tracks when each entry host and target was last heard from and what each of
//! them reported.
class lease_table {
public:
  explicit lease_table(lease_times Times) : Times(Times) {}

  //! Starts a term as leader. Leases granted by an earlier leader may still be
  //! valid, so every known member is treated as heard from at \p Now.
  void startTerm(const cluster_state &State, mono_time Now);

  //! Treats every member as heard from at \p Now, for a leader that was itself
  //! stalled until then and may have unread heartbeats.
  void extendAfterStall(mono_time Now);

  //! Records a heartbeat. Returns false and records nothing if it is from an
  //! older incarnation, or from a newer one while the lease of the previous
  //! incarnation may still be valid. The applied index is limited to
  //! \p CommitIndex, the quiesced index to the applied index.
  bool hostHeard(host_status Status, std::uint64_t CommitIndex);
  //! Records an announcement, with the same rule for incarnations, except that
  //! a new incarnation of a target that is ordered by calls is accepted at
  //! once. Also returns false and records nothing if the same or a later
  //! announcement of the incarnation was recorded before. The taken index is
  //! limited to \p CommitIndex, the settled index to the taken index.
  bool targetHeard(const target_status &Status, std::uint64_t CommitIndex);

  //! Replaces the recorded status of a target that is ordered by calls.
  void updateCalledTarget(const std::string &TargetId,
                          const called_target_status &Status);
  //! Resets the warm report count of all targets in the failure domain, because
  //! their earlier reports no longer show whether they are cold.
  void resetWarmReports(std::string_view FailureDomain);

  //! Returns when the member was last heard from, or the start of this term if
  //! it has no record, which is the case for members that joined by a log entry
  //! of an earlier term.
  [[nodiscard]] mono_time hostHeardAt(std::string_view HostId) const;
  [[nodiscard]] mono_time targetHeardAt(std::string_view TargetId) const;

  [[nodiscard]] bool hostExpired(std::string_view HostId, mono_time Now) const;
  [[nodiscard]] bool targetExpired(std::string_view TargetId,
                                   mono_time Now) const;

  //! Replaces the recorded holdings of targets that are no longer members.
  void updateFormerMembers(former_holdings Holdings) {
    FormerMembers = std::move(Holdings);
  }

  //! Whether a former member may still serve the slot.
  [[nodiscard]] bool heldByFormerMember(std::string_view Service,
                                        std::uint32_t Slot) const;
  //! Whether a former member with this id may still serve any slot.
  [[nodiscard]] bool formerMemberHoldsSlots(std::string_view TargetId) const {
    return FormerMembers.Holders.contains(TargetId);
  }
  //! Whether the grants sent by calls may still let the target serve any slot.
  [[nodiscard]] bool mayHoldSlots(const target_member &Target,
                                  mono_time Now) const;
  //! Whether the target can no longer serve any slot.
  [[nodiscard]] bool targetReleased(const target_member &Target,
                                    mono_time Now) const;
  //! Whether the target may keep the slots that it owns.
  [[nodiscard]] bool mayKeepSlots(const target_member &Target,
                                  mono_time Now) const;
  //! Whether the target may be granted more slots. It may not if a later
  //! process reports under its id.
  [[nodiscard]] bool mayReceiveSlots(const target_member &Target,
                                     mono_time Now) const;
  //! Log index up to which the target has taken over the slots granted to it.
  [[nodiscard]] std::uint64_t takenIndex(const target_member &Target) const;
  //! Whether it is certain that the owner of a slot that was revoked at
  //! \p RevokeIndex starts no more work on it and has none in progress.
  [[nodiscard]] bool slotReleased(const target_member &Owner,
                                  std::string_view Service, std::uint32_t Slot,
                                  std::uint64_t RevokeIndex) const;

  //! Whether no entry host can send, or still has in flight, a request on a
  //! slot revoked at \p RevokeIndex. A silent host is treated as quiesced once
  //! its lease and then \p InFlight have passed: by then the deadlines of all
  //! its requests have passed.
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
  //! Removes the records of hosts and targets that are no longer members and
  //! have expired.
  void removeExpired(const cluster_state &State, mono_time Now);

  //! Whether the leases of the host's earlier incarnations have expired and
  //! \p InFlight, the longest time that their requests may run, has passed.
  [[nodiscard]] bool predecessorExpired(std::string_view HostId,
                                        milliseconds InFlight,
                                        mono_time Now) const;

  [[nodiscard]] const lease_times &times() const { return Times; }

private:
  [[nodiscard]] const called_target_status *
  findCalledTarget(const target_member &Target) const;

  lease_times Times;
  mono_time TermStartedAt{};
  std::map<std::string, host_status, std::less<>> Hosts;
  std::map<std::string, target_status, std::less<>> Targets;
  std::map<std::string, called_target_status, std::less<>> CalledTargets;
  former_holdings FormerMembers;
};

} // namespace pomelo

#endif
