#include "pomeloswitch/state/rollout_table.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace pomelo {
namespace {

constexpr std::array<std::string_view, 4> StageNames{
    "running", "completing", "completed", "rolled_back"};

//! Operators resend an order that was not acknowledged for 4 s. The rest is for
//! clocks that differ and for the commit.
constexpr std::uint64_t ResendTimeMs = 6000;

void checkOrder(const wire::start_rollout &Order) {
  if (Order.version().empty() || Order.version().size() > MaxVersionBytes)
    throw pomelo_error(
        error_kind::InvalidChange,
        fmt::format("rollout: version: needs 1 to {} bytes", MaxVersionBytes));
  if (Order.duration_ms() == 0)
    throw pomelo_error(error_kind::InvalidChange,
                       "rollout: duration: must be above 0");
}

bool repeats(const rollout &Latest, const wire::start_rollout &Order,
             std::uint64_t NowMs) {
  if (Latest.Version != Order.version())
    return false;
  return !Latest.ended() || Latest.Stage == rollout_stage::Completed ||
         NowMs < Latest.StartedMs + std::max(Latest.DurationMs, ResendTimeMs);
}

//! Returns the roll-out of \p Version that follows \p Latest. What this one
//! ruled out stays so.
rollout successorOf(const rollout &Latest, const std::string &Version) {
  rollout Next;
  Next.Version = Version;
  if (Latest.Stage == rollout_stage::Completed) {
    Next.EarlierVersion = Latest.Version;
  } else if (Latest.Stage == rollout_stage::RolledBack) {
    Next.EarlierVersion = Latest.EarlierVersion;
    Next.RolledBackVersions = Latest.RolledBackVersions;
    Next.RolledBackVersions.insert(Latest.Version);
    Next.RolledBackVersions.erase(Version);
  }
  if (Next.EarlierVersion == Version) {
    Next.Stage = rollout_stage::Completing;
    Next.SharePermille = WholeShare;
    Next.Reason = "the service is at this version already";
  }
  return Next;
}

} // namespace

std::string_view toString(rollout_stage Stage) {
  return StageNames[static_cast<std::size_t>(Stage)];
}

bool rollout::allows(std::string_view TargetVersion) const {
  const bool IsNew = TargetVersion == Version;
  switch (Stage) {
  case rollout_stage::Running:
    return IsNew || replaces(TargetVersion);
  case rollout_stage::Completing:
  case rollout_stage::Completed:
    return IsNew;
  case rollout_stage::RolledBack:
    return replaces(TargetVersion);
  }
  return false;
}

bool rollout::replaces(std::string_view TargetVersion) const {
  return TargetVersion != Version &&
         (EarlierVersion.empty() || TargetVersion == EarlierVersion) &&
         !RolledBackVersions.contains(TargetVersion);
}

void rollout_table::start(const wire::start_rollout &Order, std::uint64_t Index,
                          std::uint64_t NowMs) {
  checkOrder(Order);
  rollout &Latest = Rollouts[Order.service()];
  if (Latest.StartedIndex > 0 && repeats(Latest, Order, NowMs))
    return;
  if (Latest.StartedIndex > 0 && !Latest.ended())
    throw pomelo_error(
        error_kind::VersionConflict,
        fmt::format("rollout: the service \"{}\" is being moved to version "
                    "\"{}\"",
                    Order.service(), Latest.Version));
  Latest = successorOf(Latest, Order.version());
  Latest.StartedIndex = Latest.ChangedIndex = Index;
  Latest.StartedMs = NowMs;
  Latest.DurationMs = Order.duration_ms();
}

void rollout_table::advance(const wire::advance_rollout &Change,
                            std::uint64_t Index) {
  const auto Found = Rollouts.find(Change.service());
  if (Found == Rollouts.end())
    return;
  rollout &Rollout = Found->second;
  const bool Valid =
      Change.started_index() == Rollout.StartedIndex &&
      Change.stage() < StageNames.size() &&
      Change.stage() >= static_cast<std::uint32_t>(Rollout.Stage);
  if (!Valid || Rollout.ended())
    return;
  Rollout.Stage = static_cast<rollout_stage>(Change.stage());
  Rollout.SharePermille = std::min(Change.share_permille(), WholeShare);
  Rollout.Reason = Change.reason();
  Rollout.ChangedIndex = Index;
}

void rollout_table::endOf(rollout &Rollout, std::uint64_t Index) {
  Rollout.Stage = rollout_stage::RolledBack;
  Rollout.SharePermille = 0;
  Rollout.Reason = "the configuration has removed the service";
  Rollout.ChangedIndex = Index;
}

const rollout *rollout_table::find(std::string_view Service) const {
  const auto Found = Rollouts.find(Service);
  return Found == Rollouts.end() ? nullptr : &Found->second;
}

void rollout_table::writeTo(wire::state_snapshot &Snapshot) const {
  for (const auto &[Service, Rollout] : Rollouts) {
    auto *Record = Snapshot.add_rollouts();
    Record->set_service(Service);
    Record->set_version(Rollout.Version);
    Record->set_started_index(Rollout.StartedIndex);
    Record->set_started_ms(Rollout.StartedMs);
    Record->set_duration_ms(Rollout.DurationMs);
    Record->set_stage(static_cast<std::uint32_t>(Rollout.Stage));
    Record->set_share_permille(Rollout.SharePermille);
    Record->set_reason(Rollout.Reason);
    Record->set_changed_index(Rollout.ChangedIndex);
    Record->set_earlier_version(Rollout.EarlierVersion);
    for (const std::string &Version : Rollout.RolledBackVersions)
      Record->add_rolled_back(Version);
  }
}

rollout_table rollout_table::readFrom(const wire::state_snapshot &Snapshot) {
  rollout_table Table;
  for (const auto &Record : Snapshot.rollouts()) {
    if (Record.stage() >= StageNames.size())
      throw pomelo_error(
          error_kind::StorageFailed,
          fmt::format("snapshot: the roll-out of \"{}\" has an unknown stage",
                      Record.service()));
    Table.Rollouts[Record.service()] = {
        Record.version(),
        Record.started_index(),
        Record.started_ms(),
        Record.duration_ms(),
        static_cast<rollout_stage>(Record.stage()),
        Record.share_permille(),
        Record.reason(),
        Record.changed_index(),
        Record.earlier_version(),
        {Record.rolled_back().begin(), Record.rolled_back().end()}};
  }
  return Table;
}

} // namespace pomelo
