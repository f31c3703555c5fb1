//! The entry hosts' part of a control host: heartbeats and token requests.
#include "pomeloswitch/admission/quota_codec.hpp"
#include "pomeloswitch/control/control_host.hpp"
#include "pomeloswitch/membership/report_check.hpp"
#include "pomeloswitch/state/key_slot.hpp"
#include "pomeloswitch/wire/report_id.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <chrono>

namespace pomelo {
namespace {

using std::chrono::steady_clock;

host_status readHostStatus(const wire::heartbeat &Heartbeat, mono_time Now) {
  host_status Host;
  Host.Announced = {Heartbeat.host_id(), Heartbeat.incarnation(),
                    Heartbeat.failure_domain()};
  Host.AppliedIndex = Heartbeat.applied_index();
  Host.QuiescedIndex = Heartbeat.quiesced_index();
  Host.ConfigVersion = Heartbeat.config_version();
  Host.Stopping = Heartbeat.stopping();
  Host.HeardAt = Now;
  return Host;
}

target_status readTargetStatus(const wire::target_report &Report,
                               mono_time Now) {
  const wire::target_joined &Announcement = Report.target();
  target_status Target;
  Target.Announced = {Announcement.target_id(),   Announcement.incarnation(),
                      Announcement.service(),     Announcement.failure_domain(),
                      Announcement.address(),     Announcement.slots(),
                      Announcement.connections(), Announcement.checks_fence(),
                      Report.leaving(),           0};
  Target.TakenIndex = Report.taken_index();
  Target.SettledIndex = Report.settled_index();
  Target.HeardAt = Now;
  return Target;
}

} // namespace

void control_host::onHeartbeat(const std::shared_ptr<peer_link> &Link,
                               const wire::heartbeat &Heartbeat) {
  const activity_meter::timer Timer(Activity, HandleHeartbeat);
  wire::envelope Answer;
  auto *Ack = Answer.mutable_heartbeat_ack();
  Ack->set_sequence(Heartbeat.sequence());
  addMembers(Heartbeat, *Ack);
  // The answer shows that the link is alive, even without a lease.
  if (!Log->leadershipConfirmed())
    return Link->send(Answer);
  const mono_time Now = steady_clock::now();
  if (!Leases.hostHeard(readHostStatus(Heartbeat, Now), Log->commitIndex()))
    return;
  // Slot moves wait only for the leases of members, so only members get one.
  const auto Member = State.entryHosts().find(Heartbeat.host_id());
  if (Member == State.entryHosts().end() ||
      Member->second.Incarnation != Heartbeat.incarnation())
    return;
  Loads.recordHeartbeat(Heartbeat, Now);
  Rollouts.recordHeartbeat(Heartbeat);
  Ack->set_commit_index(Log->commitIndex());
  Ack->set_lease_ms(
      static_cast<std::uint32_t>(Leases.times().HostLease.count()));
  recordTargetReports(Heartbeat, Now, *Ack);
  addOverloadedOwners(*Ack);
  addQuotaGrant(Heartbeat, Now, *Ack);
  Link->send(Answer);
}

//! Names the recorded reports in the answer.
void control_host::recordTargetReports(const wire::heartbeat &Heartbeat,
                                       mono_time Now,
                                       wire::heartbeat_ack &Ack) {
  for (const wire::target_report &Report : Heartbeat.targets()) {
    const target_status Status = readTargetStatus(Report, Now);
    if (mayRecordReport(State, Status.Announced) &&
        Leases.targetHeard(Status, Log->commitIndex()))
      Ack.add_targets(reportId(Report.target()));
  }
}

void control_host::addOverloadedOwners(wire::heartbeat_ack &Ack) const {
  for (const owner_share &Owner : OverloadedOwners) {
    auto *Share = Ack.add_overloaded();
    Share->set_target_id(Owner.TargetId);
    Share->set_share(static_cast<float>(Owner.Share));
  }
}

void control_host::updateMembers() {
  Members = Log->members();
  std::string Text;
  for (const control_member &Member : Members)
    Text.append(Member.HostId).append(" ").append(Member.Address).append("\n");
  MembersHash = stableHash(Text);
}

//! A host that knows the members already is not told again.
void control_host::addMembers(const wire::heartbeat &Heartbeat,
                              wire::heartbeat_ack &Ack) const {
  Ack.set_members_hash(MembersHash);
  if (Heartbeat.members_hash() == MembersHash)
    return;
  for (const control_member &Member : Members) {
    auto *AckMember = Ack.add_control_hosts();
    AckMember->set_id(Member.HostId);
    AckMember->set_address(Member.Address);
  }
}

//! The ledger knows which hosts have a lease; it came with a heartbeat.
void control_host::onTokenRequest(const std::shared_ptr<peer_link> &Link,
                                  const wire::token_request &Request) {
  const activity_meter::timer Timer(Activity, HandleTokenRequest);
  if (!Log->leadershipConfirmed())
    return;
  const auto Grant = Rates.answerTokens(
      {Request.host_id(), Request.incarnation()},
      decode(Request.quota(), Request.sequence()), steady_clock::now());
  if (!Grant)
    return;
  wire::envelope Answer;
  Answer.mutable_token_answer()->set_sequence(Request.sequence());
  encode(*Grant, *Answer.mutable_token_answer()->mutable_quota());
  Link->send(Answer);
}

void control_host::addQuotaGrant(const wire::heartbeat &Heartbeat,
                                 mono_time Now, wire::heartbeat_ack &Ack) {
  const auto Grant = Rates.answer(
      {Heartbeat.host_id(), Heartbeat.incarnation()},
      decode(Heartbeat.quota(), Heartbeat.sequence()),
      State.sharedInventory()->ClientAccounts, State.entryHosts(), Now);
  if (Grant)
    encode(*Grant, *Ack.mutable_quota());
}

} // namespace pomelo
