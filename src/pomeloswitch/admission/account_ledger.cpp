#include "pomeloswitch/admission/account_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace pomelo {
namespace {

//! A host may save up this many seconds of its share.
constexpr double DepthSeconds = 0.3;
//! Fraction of the burst that hosts may save up together, if that allows one
//! request at each host.
constexpr double MaxSavedBurstFraction = 0.5;
//! A share changes only if it differs by more than this fraction.
constexpr double ShareHysteresis = 0.1;

//! Rates below this per host, requests/s, are not divided among hosts but
//! handed out as tokens: requests arrive too rarely to estimate the demand of a
//! host, and rate that one host leaves unused would be missing at the others.
constexpr double MinShareRate = 20;

//! Fraction of the burst that is kept for requests that wait; spare tokens are
//! handed out beyond it.
constexpr double MinCentralFraction = 0.5;

//! Time for which a computed share rule is reused; computing one visits every
//! host.
constexpr milliseconds RuleInterval{20};

} // namespace

double account_ledger::host_holding::rateBound() const {
  double Bound = 0;
  for (const issued_grant &Grant : IssuedGrants)
    Bound = std::max(Bound, Grant.RatePerSecond);
  return Bound;
}

double account_ledger::host_holding::savedBound() const {
  double Bound = 0;
  for (const issued_grant &Grant : IssuedGrants)
    Bound = std::max(Bound, Grant.Depth + surplusLimit(Grant.Depth));
  return Bound;
}

//! Updates the sums when a holding changes within its scope.
class account_ledger::change_guard {
public:
  change_guard(sums &Sums, host_holding &Holding)
      : Sums(Sums), Holding(Holding) {
    add(-1);
  }
  ~change_guard() { add(1); }
  change_guard(const change_guard &) = delete;
  change_guard &operator=(const change_guard &) = delete;

private:
  void add(double Sign) {
    Sums.Rate += Sign * Holding.rateBound();
    Sums.Saved += Sign * Holding.savedBound();
    Sums.Burst += Sign * Holding.burstBound();
  }

  sums &Sums;
  host_holding &Holding;
};

double account_ledger::stored() const {
  return CentralTokens + Leased.Saved + Leased.Burst;
}

void account_ledger::configure(double NewRate, double NewBurst,
                               std::size_t HostCount, mono_time Now) {
  refillCentral(Now);
  Hosts = HostCount;
  Rate = NewRate;
  Burst = NewBurst;
  clampCentral();
}

bool account_ledger::isShared() const {
  return Rate >=
         MinShareRate * static_cast<double>(std::max(Hosts, Holdings.size()));
}

void account_ledger::clearCentralBucket(mono_time Now) {
  CentralTokens = 0;
  RefilledAt = Now;
}

void account_ledger::creditGap(milliseconds Gap, mono_time Now) {
  refillCentral(Now);
  CentralTokens += Rate * std::chrono::duration<double>(Gap).count();
  clampCentral();
}

//! Adds the tokens of the unleased rate since the last refill.
void account_ledger::refillCentral(mono_time Now) {
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  RefilledAt = Now;
  CentralTokens += std::max(0.0, Rate - leasedRate()) * Elapsed.count();
  clampCentral();
}

void account_ledger::clampCentral() {
  const double Room = Burst - Leased.Saved - Leased.Burst;
  CentralTokens = std::clamp(CentralTokens, 0.0, std::max(0.0, Room));
}

void account_ledger::acknowledge(const host_incarnation &Host,
                                 const account_report &Report, mono_time Now) {
  refillCentral(Now);
  host_holding &Holding = Holdings[Host];
  const double Returned = Report.BurstReturned - Holding.BurstReturned;
  const double Unused = Report.Surplus - Holding.SurplusSeen;
  {
    const change_guard Guard(Leased, Holding);
    std::erase_if(Holding.IssuedGrants, [&Report](const issued_grant &Grant) {
      return Grant.Id < Report.GrantId;
    });
    Holding.BurstSpent = Report.BurstSpent;
    Holding.BurstReturned = Report.BurstReturned;
  }
  Holding.Demand = Report.Demand;
  Holding.Wanted = Report.Wanted;
  Holding.Spare = Report.Spare;
  CentralTokens += Returned + Unused;
  Holding.SurplusSeen = Report.Surplus;
  clampCentral();
}

void account_ledger::inherit(const host_incarnation &Host,
                             const account_report &Report) {
  host_holding &Holding = Holdings[Host];
  {
    const change_guard Guard(Leased, Holding);
    Holding.IssuedGrants = {{0, Report.RatePerSecond, Report.Depth}};
  }
  Holding.Demand = Report.Demand;
  Holding.Wanted = Report.Wanted;
  clampCentral();
}

void account_ledger::expire(const host_incarnation &Host, mono_time Now) {
  refillCentral(Now);
  const auto Found = Holdings.find(Host);
  if (Found == Holdings.end())
    return;
  {
    const change_guard Guard(Leased, Found->second);
    Found->second = host_holding();
  }
  Holdings.erase(Found);
  RuleComputedAt = {}; // Redistribute its share immediately.
}

bool account_ledger::hasHoldings(const host_incarnation &Host) const {
  const auto Found = Holdings.find(Host);
  if (Found == Holdings.end())
    return false;
  const host_holding &Holding = Found->second;
  return Holding.rateBound() > 0 || Holding.savedBound() > 0 ||
         Holding.burstBound() > 0;
}

void account_ledger::setIdle(const host_incarnation &Host) {
  const auto Found = Holdings.find(Host);
  if (Found != Holdings.end())
    Found->second.Demand = Found->second.Wanted = 0;
}

double account_ledger::targetRate(double Demand, mono_time Now) {
  if (Now - RuleComputedAt >= RuleInterval) {
    std::vector<double> Demands;
    for (const auto &[Host, Holding] : Holdings)
      Demands.push_back(Holding.Demand);
    Rule = computeShareRule(Rate, Demands);
    RuleComputedAt = Now;
  }
  return Rule.computeShare(Demand);
}

//! Capacity for unused share: at least one request per host, because a host
//! without capacity cannot use its share; the rest in proportion to the shares.
double account_ledger::targetDepth(const host_holding &Holding,
                                   double Share) const {
  const auto HostCount = static_cast<double>(Holdings.size());
  const double MaxSaved =
      std::max(Burst * MaxSavedBurstFraction, std::min(Burst, HostCount));
  const double ByShare =
      std::max(0.0, MaxSaved / 2 - HostCount) * Share / std::max(Rate, Share);
  double Depth = 1 + std::floor(std::min(Share * DepthSeconds, ByShare));
  const double FreeRoom = MaxSaved - Leased.Saved + Holding.savedBound();
  if (Depth + surplusLimit(Depth) > FreeRoom)
    Depth = std::floor(FreeRoom / 2);
  if (Depth < 1 && FreeRoom >= 1)
    Depth = 1;
  return std::max(0.0, Depth);
}

account_grant account_ledger::grant(const host_incarnation &Host,
                                    std::string_view Account,
                                    std::uint64_t &NextGrantId, mono_time Now) {
  refillCentral(Now);
  host_holding &Holding = Holdings[Host];
  const issued_grant LastGrant = Holding.IssuedGrants.empty()
                                     ? issued_grant()
                                     : Holding.IssuedGrants.back();
  const double FreeRate =
      std::max(0.0, Rate - leasedRate()) + Holding.rateBound();
  double Share =
      isShared() ? std::min(targetRate(Holding.Demand, Now), FreeRate) : 0;
  if (Share > 0 &&
      std::abs(Share - LastGrant.RatePerSecond) <= ShareHysteresis * Share &&
      LastGrant.RatePerSecond <= FreeRate)
    Share = LastGrant.RatePerSecond;
  const double Depth = Share > 0 ? targetDepth(Holding, Share) : 0;
  if (Depth == 0)
    Share = 0;
  if (Holding.IssuedGrants.empty() || Share != LastGrant.RatePerSecond ||
      Depth != LastGrant.Depth) {
    const change_guard Guard(Leased, Holding);
    Holding.IssuedGrants.push_back({NextGrantId++, Share, Depth});
  }
  clampCentral();
  const double GrantedTokens =
      std::min(Holding.Wanted, std::floor(CentralTokens));
  const double SpareTokens = CentralTokens - GrantedTokens - Holding.Spare >=
                                     Burst * MinCentralFraction
                                 ? std::floor(Holding.Spare)
                                 : 0;
  CentralTokens -= GrantedTokens + SpareTokens;
  {
    const change_guard Guard(Leased, Holding);
    Holding.BurstTotal += GrantedTokens + SpareTokens;
  }
  account_grant Grant;
  Grant.Account = Account;
  Grant.GrantId = Holding.IssuedGrants.back().Id;
  Grant.RatePerSecond = Share;
  Grant.Depth = Depth;
  Grant.BurstTotal = Holding.BurstTotal;
  Grant.SurplusSeen = Holding.SurplusSeen;
  Grant.Exhausted = GrantedTokens < std::floor(Holding.Wanted);
  Holding.Wanted = 0;
  Holding.Spare = 0;
  return Grant;
}

} // namespace pomelo
