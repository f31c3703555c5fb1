#include "pomeloswitch/rollout/rollout_coordinator.hpp"

#include "pomeloswitch/membership/in_force.hpp"
#include "pomeloswitch/rollout/outcome_codec.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace pomelo {
namespace {

//! For the commands of a completion and their delivery, and once a new leader.
constexpr milliseconds ConfirmationTime{2500};
//! For moving the keys of a service that is divided by key.
constexpr milliseconds KeyMoveTime{3000};
//! A change that has not been applied for this long is proposed again.
constexpr milliseconds ProposalTimeout{1000};

milliseconds completionTimeOf(const std::string &Service,
                              const cluster_state &State) {
  const bool Keyed = State.sharedSlots(Service) != nullptr;
  return ConfirmationTime + milliseconds(State.longestDeadlineMs(Service)) +
         (Keyed ? KeyMoveTime : milliseconds(0));
}

wire::command makeChange(const std::string &Service, const rollout &Rollout,
                         const rollout_verdict &Verdict) {
  wire::command Command;
  auto &Change = *Command.mutable_advance_rollout();
  Change.set_service(Service);
  Change.set_started_index(Rollout.StartedIndex);
  Change.set_stage(static_cast<std::uint32_t>(Verdict.Stage));
  Change.set_share_permille(
      static_cast<std::uint32_t>(std::lround(WholeShare * Verdict.Share)));
  Change.set_reason(Verdict.Reason);
  return Command;
}

//! Whether a target of another version owns a slot of the service or may still
//! run requests on one.
bool keysAreElsewhere(const std::string &Service, const rollout &Rollout,
                      const cluster_state &State) {
  const auto Slots = State.sharedSlots(Service);
  return Slots && std::any_of(Slots->begin(), Slots->end(),
                              [&](const slot_ownership &Slot) {
                                const auto Owner =
                                    State.targets().find(Slot.Owner);
                                return Owner != State.targets().end() &&
                                       !Rollout.allows(Owner->second.Version);
                              });
}

//! Whether the new version can take no requests while another one could.
bool onlyOthersRemain(const std::string &Service, const rollout &Rollout,
                      const cluster_state &State) {
  bool Others = false;
  for (const auto &[Id, Target] : State.targets()) {
    if (Target.Service != Service || Target.Leaving ||
        State.drainedByOperators(Target))
      continue;
    if (Target.Version == Rollout.Version)
      return false;
    Others |= Rollout.replaces(Target.Version);
  }
  return Others;
}

} // namespace

void rollout_coordinator::startTerm() { Services.clear(); }

void rollout_coordinator::recordHeartbeat(const wire::heartbeat &Heartbeat) {
  for (const auto &Counts : Heartbeat.rollouts()) {
    progress &Progress = Services[Counts.service()];
    if (Progress.StartedIndex > Counts.started_index())
      continue;
    if (Progress.StartedIndex < Counts.started_index()) {
      Progress = {};
      Progress.StartedIndex = Counts.started_index();
    }
    Progress.Reports[{Heartbeat.host_id(), Heartbeat.incarnation()}] =
        decode(Counts);
  }
}

std::vector<wire::command> rollout_coordinator::step(const cluster_state &State,
                                                     const lease_table &Leases,
                                                     mono_time Now,
                                                     std::uint64_t UnixMs) {
  std::vector<wire::command> Commands;
  for (const auto &[Service, Rollout] : State.rollouts())
    if (!Rollout.ended())
      if (auto Command = stepOf(Service, Rollout, State, Leases, Now, UnixMs))
        Commands.push_back(std::move(*Command));
  std::erase_if(Services, [&State](const auto &Entry) {
    const rollout *Rollout = State.rollouts().find(Entry.first);
    return !Rollout || Rollout->ended();
  });
  return Commands;
}

std::optional<wire::command>
rollout_coordinator::stepOf(const std::string &Service, const rollout &Rollout,
                            const cluster_state &State,
                            const lease_table &Leases, mono_time Now,
                            std::uint64_t UnixMs) {
  progress &Progress = Services[Service];
  if (Progress.StartedIndex != Rollout.StartedIndex)
    Progress = {};
  if (Progress.SeenAt == mono_time())
    begin(Rollout, std::max(State.timeMs(), UnixMs), Progress, Now);
  auto Command = Rollout.Stage == rollout_stage::Running
                     ? judge(Service, Rollout, State, Progress, Now)
                     : complete(Service, Rollout, State, Leases, Progress, Now);
  const bool Pending = Progress.ProposedUpon == Rollout.ChangedIndex &&
                       Now - Progress.ProposedAt < ProposalTimeout;
  if (!Command || Pending)
    return std::nullopt;
  Progress.ProposedUpon = Rollout.ChangedIndex;
  Progress.ProposedAt = Now;
  return Command;
}

//! Unix time is used only once: the clocks of the leaders may jump. The log's
//! time alone does not suffice: a log without new entries gets no later time.
void rollout_coordinator::begin(const rollout &Rollout, std::uint64_t UnixMs,
                                progress &Progress, mono_time Now) {
  Progress.StartedIndex = Rollout.StartedIndex;
  Progress.SeenAt = Now;
  Progress.AgeWhenSeen =
      milliseconds(UnixMs > Rollout.StartedMs ? UnixMs - Rollout.StartedMs : 0);
}

std::optional<wire::command>
rollout_coordinator::judge(const std::string &Service, const rollout &Rollout,
                           const cluster_state &State, progress &Progress,
                           mono_time Now) const {
  if (!Progress.Judge)
    Progress.Judge.emplace(rollout_terms{milliseconds(Rollout.DurationMs),
                                         completionTimeOf(Service, State),
                                         Exposure},
                           Rollout.SharePermille / double{WholeShare});
  service_outcomes Sum;
  for (const auto &[Life, Outcomes] : Progress.Reports)
    Sum += Outcomes;
  std::vector<target_evidence> Evidence;
  for (const auto &[Key, Target] : Sum.Targets)
    Evidence.push_back(
        {Key.first, Key.second, Target.NewVersion, Target.Counts});
  const auto Elapsed =
      Progress.AgeWhenSeen +
      std::chrono::duration_cast<milliseconds>(Now - Progress.SeenAt);
  const rollout_verdict Verdict =
      Progress.Judge->step({Elapsed, Sum.Requests, Sum.NewRequests, Evidence});
  const bool Changes =
      Verdict.Stage != Rollout.Stage ||
      std::lround(WholeShare * Verdict.Share) != Rollout.SharePermille;
  if (!Changes)
    return std::nullopt;
  return makeChange(Service, Rollout, Verdict);
}

//! Completes the roll-out once no request and no key can be with a target of
//! another version. Requests that were sent before the hosts followed have
//! ended after the longest deadline of the service.
std::optional<wire::command> rollout_coordinator::complete(
    const std::string &Service, const rollout &Rollout,
    const cluster_state &State, const lease_table &Leases, progress &Progress,
    mono_time Now) {
  if (onlyOthersRemain(Service, Rollout, State))
    return makeChange(
        Service, Rollout,
        {rollout_stage::RolledBack, 0, "the new version has no targets left"});
  if (Progress.ConfirmedIndex != Rollout.ChangedIndex) {
    Progress.ConfirmedAt.reset();
    Progress.ConfirmedIndex = Rollout.ChangedIndex;
  }
  if (!hostsBehind(State, Leases, Rollout.ChangedIndex, isolated_routing::None,
                   Now)
           .empty())
    return std::nullopt;
  if (!Progress.ConfirmedAt)
    Progress.ConfirmedAt = Now;
  const milliseconds Deadline(State.longestDeadlineMs(Service));
  if (Now - *Progress.ConfirmedAt < Deadline ||
      keysAreElsewhere(Service, Rollout, State))
    return std::nullopt;
  return makeChange(
      Service, Rollout,
      {rollout_stage::Completed, 1, "all hosts use the new version only"});
}

} // namespace pomelo
