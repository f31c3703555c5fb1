#include "pomeloswitch/admission/account_bucket.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! Tokens are asked for this far ahead, s: a heartbeat interval.
constexpr double LookAheadSeconds = 0.2;
//! Burst tokens that would last longer than this are given back, s.
constexpr double KeepBurstSeconds = 0.5;
//! Unused rate that would last longer than this is given back, s.
constexpr double KeepLevelSeconds = 0.05;
//! Below this demand an account counts as unused, requests/s.
constexpr double UnusedDemand = 0.05;
constexpr unsigned MaxWaiting = 1000;
constexpr std::chrono::milliseconds LongestRetryAfter{60000};

} // namespace

//! Adds what the share has brought; ends everything with the lease.
void account_bucket::update(time_point Now) {
  const time_point Until = std::min(Now, ValidUntil);
  const std::chrono::duration<double> Elapsed = Until - UpdatedAt;
  if (Elapsed.count() > 0)
    Level = std::min(Depth, Level + RatePerSecond * Elapsed.count());
  UpdatedAt = std::max(UpdatedAt, Now);
  if (Now < ValidUntil)
    return;
  RatePerSecond = Depth = Level = 0;
  BurstSpent = BurstTotal - BurstReturned;
}

bool account_bucket::take(time_point Now) {
  update(Now);
  if (Level >= 1) {
    Level -= 1;
    return true;
  }
  if (burstHeld() < 1)
    return false;
  BurstSpent += 1;
  return true;
}

bool account_bucket::admitArrival(time_point Now) {
  const std::lock_guard Lock(Mutex);
  Demand.arrived(Now);
  return take(Now);
}

bool account_bucket::admitWaiting(time_point Now) {
  const std::lock_guard Lock(Mutex);
  return take(Now);
}

bool account_bucket::beginWait(time_point Now,
                               std::chrono::milliseconds MaxWait) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  const double Due = std::chrono::duration<double>(MaxWait).count();
  const bool ShareSuffices = Waiting + 1 <= Level + RatePerSecond * Due;
  if ((Exhausted && !ShareSuffices) || Waiting >= MaxWaiting)
    return false;
  ++Waiting;
  return true;
}

void account_bucket::endWait() {
  const std::lock_guard Lock(Mutex);
  --Waiting;
}

bool account_bucket::decided(time_point Now) const {
  const std::lock_guard Lock(Mutex);
  return Decided && Now < ValidUntil;
}

std::chrono::milliseconds account_bucket::retryAfter() const {
  const std::lock_guard Lock(Mutex);
  if (RatePerSecond <= 0)
    return std::chrono::seconds(1);
  const std::chrono::duration<double> Due((Waiting + 1) / RatePerSecond);
  return std::min(LongestRetryAfter,
                  std::chrono::ceil<std::chrono::milliseconds>(Due));
}

bool account_bucket::answeredSince(time_point Since) const {
  const std::lock_guard Lock(Mutex);
  return AnsweredAt >= Since;
}

bool account_bucket::apply(const account_grant &Grant, bool AllKnown,
                           time_point Until, time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  const bool Lowered = Grant.RatePerSecond < RatePerSecond;
  GrantId = Grant.GrantId;
  RatePerSecond = Grant.RatePerSecond;
  Depth = Grant.Depth;
  Level = std::min(Level, Depth);
  BurstTotal = Grant.BurstTotal;
  SurplusSeen = Grant.SurplusSeen;
  Exhausted = AllKnown && Grant.Exhausted;
  Decided = AllKnown;
  Unreported = true;
  ValidUntil = Until;
  AnsweredAt = Now;
  return Lowered;
}

void account_bucket::extend(time_point Until, time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  ValidUntil = Until;
}

void account_bucket::beginEpoch(bool NewTerm, time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  BurstTotal = BurstSpent = BurstReturned = Surplus = SurplusSeen = 0;
  Exhausted = Decided = false;
  if (NewTerm)
    GrantId = 0;
}

//! Leaves what is not needed here to the hosts that need it.
void account_bucket::giveBackUnused(double DemandNow) {
  const double KeepBurst =
      DemandNow == 0 ? 0 : Waiting + 1 + DemandNow * KeepBurstSeconds;
  BurstReturned += std::max(0.0, burstHeld() - KeepBurst);
  const double KeepLevel = Waiting + 1 + DemandNow * KeepLevelSeconds;
  const double OnItsWay = Surplus - SurplusSeen;
  const double Back = std::clamp(surplusLimit(Depth) - OnItsWay, 0.0,
                                 std::max(0.0, Level - KeepLevel));
  Level -= Back;
  Surplus += Back;
}

account_report account_bucket::report(time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  Unreported = false;
  account_report Report;
  Report.Account = Account;
  Report.GrantId = GrantId;
  Report.RatePerSecond = RatePerSecond;
  Report.Depth = Depth;
  Report.Demand = Demand.rate(Now);
  if (Report.Demand < UnusedDemand)
    Report.Demand = 0;
  giveBackUnused(Report.Demand);
  Report.BurstSpent = BurstSpent;
  Report.BurstReturned = BurstReturned;
  Report.Surplus = Surplus;
  const double Ahead =
      std::max(0.0, Report.Demand - RatePerSecond) * LookAheadSeconds;
  Report.Wanted = std::max(0.0, Waiting + Ahead - burstHeld());
  return Report;
}

bool account_bucket::idle(time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  return !Unreported && Waiting == 0 && RatePerSecond == 0 && Depth == 0 &&
         burstHeld() <= 0 && Demand.rate(Now) < UnusedDemand;
}

} // namespace pomelo
