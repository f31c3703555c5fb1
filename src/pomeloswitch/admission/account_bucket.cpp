#include "pomeloswitch/admission/account_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace pomelo {
namespace {

//! Demand is covered this far ahead, s: one heartbeat interval.
constexpr double LookAheadSeconds = 0.2;
//! Burst tokens that would last longer than this are returned, s.
constexpr double MaxBurstHoldSeconds = 0.5;
//! Unused rate that would last longer than this is returned, s.
constexpr double MaxLevelHoldSeconds = 0.05;
//! Demand below this counts as none, requests/s.
constexpr double MinDemand = 0.05;
constexpr unsigned MaxWaiting = 1000;
constexpr std::chrono::milliseconds MaxRetryAfter{60000};

} // namespace

//! Refills the bucket from the share; drops everything when the lease expires.
void account_bucket::update(time_point Now) {
  const time_point Until = std::min(Now, ValidUntil);
  const std::chrono::duration<double> Elapsed = Until - UpdatedAt;
  if (Elapsed.count() > 0)
    Level = std::min(Depth, Level + RatePerSecond * Elapsed.count());
  UpdatedAt = std::max(UpdatedAt, Now);
  if (Now < ValidUntil)
    return;
  RatePerSecond = Depth = Level = 0;
  Unreported |= heldBurst() > 0;
  BurstSpent = BurstTotal - BurstReturned;
}

bool account_bucket::take(time_point Now) {
  update(Now);
  if (Level >= 1) {
    Level -= 1;
    return true;
  }
  if (heldBurst() < 1)
    return false;
  BurstSpent += 1;
  Unreported = true;
  return true;
}

bool account_bucket::admitArrival(time_point Now) {
  const std::lock_guard Lock(Mutex);
  Recurring = Demand.rate(Now) >= MinDemand;
  Demand.recordArrival(Now);
  return take(Now);
}

bool account_bucket::hasToken(time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  return Level >= 1 || heldBurst() >= 1;
}

bool account_bucket::hasShortage(time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  return Waiting > Level + heldBurst();
}

bool account_bucket::askedInVain() const {
  const std::lock_guard Lock(Mutex);
  return AskedInVain;
}

bool account_bucket::admitWaiting(time_point Now) {
  const std::lock_guard Lock(Mutex);
  return take(Now);
}

bool account_bucket::beginWait(time_point Now,
                               std::chrono::milliseconds MaxWait) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  const double Delay = std::chrono::duration<double>(MaxWait).count();
  const bool ShareSuffices = Waiting + 1 <= Level + RatePerSecond * Delay;
  if ((Exhausted && !ShareSuffices) || Waiting >= MaxWaiting)
    return false;
  ++Waiting;
  return true;
}

void account_bucket::endWait() {
  const std::lock_guard Lock(Mutex);
  --Waiting;
}

bool account_bucket::isDecided(time_point Now) const {
  const std::lock_guard Lock(Mutex);
  return Decided && Now < ValidUntil;
}

std::chrono::milliseconds account_bucket::retryAfter() const {
  const std::lock_guard Lock(Mutex);
  if (RatePerSecond <= 0)
    return std::chrono::seconds(1);
  const std::chrono::duration<double> Delay((Waiting + 1) / RatePerSecond);
  return std::min(MaxRetryAfter,
                  std::chrono::ceil<std::chrono::milliseconds>(Delay));
}

bool account_bucket::answeredSince(time_point Since) const {
  const std::lock_guard Lock(Mutex);
  return AnsweredAt >= Since;
}

bool account_bucket::apply(const account_grant &Grant, bool LeaderInformed,
                           time_point Until, time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  const bool Lowered = Grant.RatePerSecond < RatePerSecond;
  Unreported |= Grant.GrantId != GrantId || Grant.BurstTotal != BurstTotal;
  GrantId = Grant.GrantId;
  RatePerSecond = Grant.RatePerSecond;
  Depth = Grant.Depth;
  Level = std::min(Level, Depth);
  BurstTotal = Grant.BurstTotal;
  SurplusSeen = Grant.SurplusSeen;
  Exhausted = LeaderInformed && Grant.Exhausted;
  AskedInVain = Grant.Exhausted;
  Decided = LeaderInformed;
  ValidUntil = Until;
  AnsweredAt = Now;
  return Lowered;
}

void account_bucket::extend(time_point Until, time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  ValidUntil = Until;
  AskedInVain = false;
}

void account_bucket::beginEpoch(bool NewTerm, time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  BurstTotal = BurstSpent = BurstReturned = Surplus = SurplusSeen = 0;
  Exhausted = Decided = false;
  if (NewTerm)
    GrantId = 0;
}

//! Returns what is not needed at this host so that other hosts can use it.
void account_bucket::giveBackUnused(double DemandNow) {
  const double KeptBurst =
      DemandNow == 0 ? 0 : Waiting + 1 + DemandNow * MaxBurstHoldSeconds;
  BurstReturned += std::max(0.0, heldBurst() - KeptBurst);
  const double KeptLevel = Waiting + 1 + DemandNow * MaxLevelHoldSeconds;
  const double UnconfirmedSurplus = Surplus - SurplusSeen;
  const double Returned = std::clamp(surplusLimit(Depth) - UnconfirmedSurplus,
                                     0.0, std::max(0.0, Level - KeptLevel));
  Level -= Returned;
  Surplus += Returned;
}

//! Returns the whole tokens that are likely to be needed before the next
//! report; a part of a token admits no request.
double account_bucket::expectedShortfall(double DemandNow) const {
  return std::floor(std::max(0.0, DemandNow - RatePerSecond) *
                    LookAheadSeconds);
}

account_report account_bucket::report(time_point Now) {
  const std::lock_guard Lock(Mutex);
  account_report Report = makeReport(Now);
  Unreported = false;
  return Report;
}

account_report account_bucket::tokenReport(time_point Now) {
  const std::lock_guard Lock(Mutex);
  AskedInVain = true;
  return makeReport(Now);
}

account_report account_bucket::makeReport(time_point Now) {
  update(Now);
  account_report Report;
  Report.Account = Account;
  Report.GrantId = GrantId;
  Report.RatePerSecond = RatePerSecond;
  Report.Depth = Depth;
  Report.Demand = Demand.rate(Now);
  if (Report.Demand < MinDemand)
    Report.Demand = 0;
  giveBackUnused(Report.Demand);
  Report.BurstSpent = BurstSpent;
  Report.BurstReturned = BurstReturned;
  Report.Surplus = Surplus;
  const double Shortfall = expectedShortfall(Report.Demand);
  const bool HasShare = RatePerSecond > 0;
  Report.Wanted =
      std::max(0.0, Waiting + (HasShare ? Shortfall : 0) - heldBurst());
  Report.Spare =
      HasShare || Report.Demand == 0 || !Recurring ? 0 : spareTokens(Shortfall);
  return Report;
}

//! Without a share of the rate, the next request would wait for an answer of
//! the leader. Tokens ahead are given back if none comes, so there are some
//! only where the latest requests came close together.
double account_bucket::spareTokens(double Shortfall) const {
  const double Ahead = std::max(1.0, Shortfall);
  return std::max(0.0,
                  Waiting + Ahead - std::max<double>(Waiting, heldBurst()));
}

bool account_bucket::isIdle(time_point Now) {
  const std::lock_guard Lock(Mutex);
  update(Now);
  return !Unreported && Waiting == 0 && RatePerSecond == 0 && Depth == 0 &&
         heldBurst() <= 0 && expectedShortfall(Demand.rate(Now)) == 0;
}

} // namespace pomelo
