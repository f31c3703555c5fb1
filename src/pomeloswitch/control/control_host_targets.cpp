//! The part of the control host that hears targets and calls them.
#include "pomeloswitch/control/control_host.hpp"

#include "pomeloswitch/control/decision_events.hpp"
#include "pomeloswitch/membership/report_check.hpp"
#include "pomeloswitch/state/target_codec.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <chrono>
#include <utility>

namespace pomelo {

using std::chrono::steady_clock;

order_times targetOrderTimes(const control_settings &Settings) {
  order_times Times;
  Times.GrantDuration = milliseconds(Settings.TargetSlotLeaseMs);
  return Times;
}

bool control_host::targetHeard(target_status Status) {
  const activity_meter::timer Timer(Activity, HandleTargetReport);
  if (Log->leadershipConfirmed()) {
    recordTarget(std::move(Status));
    return true;
  }
  if (Status.Announced.Leaving || !Log->leaderReachable())
    return false;
  std::string Id = Status.Announced.TargetId;
  ReportsToForward.insert_or_assign(std::move(Id), std::move(Status));
  return true;
}

void control_host::recordTarget(target_status Status) {
  const target_member &Announced = Status.Announced;
  if (!mayRecordReport(State, Announced)) {
    Logger.warn("Ignored a report under the id of target {}: it names service "
                "{} and address {}.",
                Announced.TargetId, Announced.Service, Announced.Address);
    return;
  }
  Status.HeardAt = steady_clock::now();
  Leases.targetHeard(Status, Log->commitIndex());
  const auto Member = State.targets().find(Announced.TargetId);
  const bool Joins =
      Member == State.targets().end() && serviceInForce(State, Announced);
  PlanInputsChanged |=
      Joins || (Member != State.targets().end() &&
                (Member->second.Incarnation != Announced.Incarnation ||
                 Member->second.Leaving != Announced.Leaving ||
                 Member->second.Cold != Announced.Cold));
}

void control_host::onForwardedReports(
    const wire::forwarded_reports &Forwarded) {
  const activity_meter::timer Timer(Activity, HandleTargetReport);
  if (!Log->leadershipConfirmed())
    return;
  for (const wire::forwarded_report &Report : Forwarded.reports()) {
    target_status Status;
    Status.Announced = toMember(Report.target());
    Status.Sequence = Report.sequence();
    recordTarget(std::move(Status));
  }
}

void control_host::forwardReports() {
  if (ReportsToForward.empty())
    return;
  wire::envelope Message;
  for (const auto &[Id, Status] : std::exchange(ReportsToForward, {})) {
    auto *Report = Message.mutable_forwarded_reports()->add_reports();
    *Report->mutable_target() = toMessage(Status.Announced);
    Report->set_sequence(Status.Sequence);
  }
  const int Count = Message.forwarded_reports().reports_size();
  if (!Log->sendToLeader(Message))
    Logger.warn("Lost {} reports of targets: no leader can be reached.", Count);
}

void control_host::sendTargetOrders(mono_time Now) {
  if (!Caller)
    return;
  const activity_meter::timer Timer(Activity, ScheduleOrders);
  const order_times Times = targetOrderTimes(Settings);
  for (const target_order &Order : Orders.dueOrders(State, Leases, Now))
    Caller->call(Order,
                 Order.Kind == order_kind::Grant ? Times.CallTimeout
                                                 : Times.ReleaseTimeout,
                 [this, Order, Term = OrderTerm](const order_result &Result) {
                   onTargetOrderEnded(Order, Result, Term);
                 });
}

void control_host::onTargetOrderEnded(const target_order &Order,
                                      const order_result &Result,
                                      std::uint64_t Term) {
  const activity_meter::timer Timer(Activity, HandleOrderResult);
  if (const auto Event = eventFor(Order, Result))
    Logger.event(log_level::Info, Event->Name, Event->Fields);
  if (Term == OrderTerm &&
      Orders.recordResult(Order, Result, steady_clock::now()))
    PlanInputsChanged = true;
}

} // namespace pomelo
