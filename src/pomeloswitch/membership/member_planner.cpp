#include "pomeloswitch/membership/member_planner.hpp"

#include "pomeloswitch/membership/report_check.hpp"
#include "pomeloswitch/state/target_codec.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <algorithm>

namespace pomelo {
namespace {

//! The first warm report may have been sent before its target became cold.
constexpr unsigned WarmReportsNeeded = 2;

wire::command joinTarget(const target_member &Announced) {
  wire::command Command;
  *Command.mutable_target_joined() = toMessage(Announced);
  return Command;
}

wire::command joinHost(const entry_member &Announced) {
  wire::command Command;
  auto *Joined = Command.mutable_host_joined();
  Joined->set_host_id(Announced.HostId);
  Joined->set_incarnation(Announced.Incarnation);
  Joined->set_failure_domain(Announced.FailureDomain);
  return Command;
}

wire::command removeHost(const entry_member &Member) {
  wire::command Command;
  auto *Left = Command.mutable_host_left();
  Left->set_host_id(Member.HostId);
  Left->set_incarnation(Member.Incarnation);
  return Command;
}

wire::command settleHost(const entry_member &Member) {
  wire::command Command;
  auto *Settled = Command.mutable_host_settled();
  Settled->set_host_id(Member.HostId);
  Settled->set_incarnation(Member.Incarnation);
  return Command;
}

wire::command removeTarget(const target_member &Member) {
  wire::command Command;
  auto *Left = Command.mutable_target_left();
  Left->set_target_id(Member.TargetId);
  Left->set_incarnation(Member.Incarnation);
  return Command;
}

wire::command markLeaving(const target_member &Member) {
  wire::command Command;
  auto *Leaving = Command.mutable_target_leaving();
  Leaving->set_target_id(Member.TargetId);
  Leaving->set_incarnation(Member.Incarnation);
  return Command;
}

wire::command markCold(const target_member &Member, bool Cold) {
  wire::command Command;
  auto *Change = Command.mutable_target_cold();
  Change->set_target_id(Member.TargetId);
  Change->set_incarnation(Member.Incarnation);
  Change->set_cold(Cold);
  return Command;
}

//! The longest time that a request sent by any entry host may run.
milliseconds longestInFlight(const cluster_state &State) {
  std::uint32_t Longest = 0;
  for (const service &Service : State.sharedInventory()->Services)
    Longest = std::max(Longest, State.longestDeadlineMs(Service.Name));
  return milliseconds(Longest);
}

//! Time after its last heartbeat at which a silent entry host is removed. Until
//! then its requests may still run, and it may serve routes open to all in
//! isolation.
milliseconds hostRemovalTimeout(const cluster_state &State,
                                const lease_times &Times) {
  const auto MaxServing = std::max(longestInFlight(State),
                                   milliseconds(State.longestIsolationMs()));
  return Times.withDrift(
      std::max(Times.HostRemovalTimeout, Times.HostLease + MaxServing));
}

void planHosts(const cluster_state &State, const lease_table &Leases,
               mono_time Now, std::vector<wire::command> &Commands) {
  for (const auto &[Id, Status] : Leases.hosts()) {
    const auto Member = State.entryHosts().find(Id);
    const bool Known =
        Member != State.entryHosts().end() &&
        Member->second.Incarnation == Status.Announced.Incarnation;
    if (!Known && !Leases.hostExpired(Id, Now))
      Commands.push_back(joinHost(Status.Announced));
  }
  const milliseconds RemovalTimeout = hostRemovalTimeout(State, Leases.times());
  const milliseconds InFlight = longestInFlight(State);
  for (const auto &[Id, Member] : State.entryHosts()) {
    if (Now - Leases.hostHeardAt(Id) > RemovalTimeout)
      Commands.push_back(removeHost(Member));
    else if (Member.Replaced && Leases.predecessorExpired(Id, InFlight, Now))
      Commands.push_back(settleHost(Member));
  }
}

//! Whether the process of \p Successor may take the place of the member, whose
//! id or address it has. A report alone does not show that the member has
//! ended: it may come from a writer that is no target of this deployment.
//!
//! A member that holds slots has ended if it refuses its grants or lets them
//! expire. It is also taken to have ended if only the other process reports:
//! one that does not check to whom a grant is addressed answers those of the
//! member.
bool mayReplace(const target_member &Member, const target_status &Successor,
                const lease_table &Leases, mono_time Now) {
  const bool SameId = Member.TargetId == Successor.Announced.TargetId;
  const bool SameAddress = Member.Address == Successor.Announced.Address;
  // With both the same, a call to the member reaches whichever process is up.
  if (SameId == SameAddress)
    return true;
  if (!Leases.mayHoldSlots(Member, Now))
    return true;
  const target_status *Heard = Leases.findTarget(Member.TargetId);
  return Heard && Heard->Announced.Incarnation == Member.Incarnation &&
         Successor.HeardAt - Heard->HeardAt >
             Leases.times().CalledTargetMaxSilence;
}

//! Whether the process may join as far as the grants of earlier ones allow. The
//! slots of a former member with its id would else count as held by it.
bool grantsAllowJoin(const cluster_state &State, const lease_table &Leases,
                     const target_status &Successor, mono_time Now) {
  if (Leases.formerMemberHoldsSlots(Successor.Announced.TargetId))
    return false;
  return std::all_of(State.targets().begin(), State.targets().end(),
                     [&](const auto &Entry) {
                       return mayReplace(Entry.second, Successor, Leases, Now);
                     });
}

void planAnnouncedTarget(const cluster_state &State, const lease_table &Leases,
                         const target_status &Status, mono_time Now,
                         std::vector<wire::command> &Commands) {
  const target_member &Announced = Status.Announced;
  const auto Member = State.targets().find(Announced.TargetId);
  const bool Known = Member != State.targets().end();
  if (!Known || Member->second.Incarnation != Announced.Incarnation) {
    // An earlier process that has ended stays a member until its slots are
    // released, since its successor may have taken grants that were meant for
    // it.
    if (Known && Announced.Leaving && !Member->second.Leaving &&
        Announced.Incarnation > Member->second.Incarnation)
      Commands.push_back(markLeaving(Member->second));
    else if (!Announced.Leaving && serviceInForce(State, Announced) &&
             State.mayJoin(Announced) &&
             grantsAllowJoin(State, Leases, Status, Now))
      Commands.push_back(joinTarget(Announced));
    return;
  }
  if (Announced.Leaving && !Member->second.Leaving)
    Commands.push_back(markLeaving(Announced));
  if (Announced.Cold && !Member->second.Cold)
    Commands.push_back(markCold(Announced, true));
  if (Member->second.Cold && Status.WarmReports >= WarmReportsNeeded)
    Commands.push_back(markCold(Announced, false));
}

} // namespace

std::vector<wire::command> planMembership(const cluster_state &State,
                                          const lease_table &Leases,
                                          mono_time Now) {
  std::vector<wire::command> Commands;
  planHosts(State, Leases, Now, Commands);
  for (const auto &[Id, Status] : Leases.targets())
    if (!Leases.targetExpired(Id, Now))
      planAnnouncedTarget(State, Leases, Status, Now, Commands);
  // The slots of a target that is no longer a member count as released.
  for (const auto &[Id, Member] : State.targets())
    if (Leases.targetExpired(Id, Now) && Leases.targetReleased(Member, Now))
      Commands.push_back(removeTarget(Member));
  return Commands;
}

} // namespace pomelo
