#include "pomeloswitch/admission/account_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace pomelo {
namespace {

//! A host may save up this much of its share, s.
constexpr double DepthSeconds = 0.3;
//! Part of the burst that hosts may save up together, where that is enough for
//! a request at each.
constexpr double SavedPartOfBurst = 0.5;
//! A share changes only by more than this part of it.
constexpr double ShareHysteresis = 0.1;

//! A rate below this for each host that uses it, requests/s, is not shared out:
//! the requests of a host come too rarely to tell its share, and what a host
//! does not use would be missing at the others. It is handed out by tokens.
constexpr double SmallestShare = 20;

//! How long a division of the rate is used; a new one costs a look at every
//! host.
constexpr milliseconds RuleInterval{20};

} // namespace

double account_ledger::holding::rateBound() const {
  double Bound = 0;
  for (const issued &Grant : Issued)
    Bound = std::max(Bound, Grant.RatePerSecond);
  return Bound;
}

double account_ledger::holding::savedBound() const {
  double Bound = 0;
  for (const issued &Grant : Issued)
    Bound = std::max(Bound, Grant.Depth + surplusLimit(Grant.Depth));
  return Bound;
}

//! Brings the sums in line with a holding that is changed in its scope.
class account_ledger::change_guard {
public:
  change_guard(sums &Sums, holding &Holding) : Sums(Sums), Holding(Holding) {
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
  holding &Holding;
};

double account_ledger::stored() const {
  return Central + Leased.Saved + Leased.Burst;
}

void account_ledger::configure(double NewRate, double NewBurst,
                               std::size_t HostCount, mono_time Now) {
  fill(Now);
  Hosts = HostCount;
  Rate = NewRate;
  Burst = NewBurst;
  clip();
}

bool account_ledger::shared() const {
  return Rate >=
         SmallestShare * static_cast<double>(std::max(Hosts, Holdings.size()));
}

void account_ledger::empty(mono_time Now) {
  Central = 0;
  FilledAt = Now;
}

void account_ledger::credit(milliseconds Gap, mono_time Now) {
  fill(Now);
  Central += Rate * std::chrono::duration<double>(Gap).count();
  clip();
}

//! Adds what the rate that is leased to nobody has brought since last time.
void account_ledger::fill(mono_time Now) {
  const std::chrono::duration<double> Elapsed = Now - FilledAt;
  FilledAt = Now;
  Central += std::max(0.0, Rate - leasedRate()) * Elapsed.count();
  clip();
}

void account_ledger::clip() {
  const double Room = Burst - Leased.Saved - Leased.Burst;
  Central = std::clamp(Central, 0.0, std::max(0.0, Room));
}

void account_ledger::acknowledge(const host_run &Host,
                                 const account_report &Report, mono_time Now) {
  fill(Now);
  holding &Holding = Holdings[Host];
  const double Returned = Report.BurstReturned - Holding.BurstReturned;
  const double Unused = Report.Surplus - Holding.SurplusSeen;
  {
    const change_guard Guard(Leased, Holding);
    std::erase_if(Holding.Issued, [&Report](const issued &Grant) {
      return Grant.Id < Report.GrantId;
    });
    Holding.BurstSpent = Report.BurstSpent;
    Holding.BurstReturned = Report.BurstReturned;
  }
  Holding.Demand = Report.Demand;
  Holding.Wanted = Report.Wanted;
  Central += Returned + Unused;
  Holding.SurplusSeen = Report.Surplus;
  clip();
}

void account_ledger::inherit(const host_run &Host,
                             const account_report &Report) {
  holding &Holding = Holdings[Host];
  {
    const change_guard Guard(Leased, Holding);
    Holding.Issued = {{0, Report.RatePerSecond, Report.Depth}};
  }
  Holding.Demand = Report.Demand;
  Holding.Wanted = Report.Wanted;
  clip();
}

void account_ledger::expire(const host_run &Host, mono_time Now) {
  fill(Now);
  const auto Found = Holdings.find(Host);
  if (Found == Holdings.end())
    return;
  {
    const change_guard Guard(Leased, Found->second);
    Found->second = holding();
  }
  Holdings.erase(Found);
  RuleMadeAt = {}; // What it had is divided at once.
}

bool account_ledger::holds(const host_run &Host) const {
  const auto Found = Holdings.find(Host);
  if (Found == Holdings.end())
    return false;
  const holding &Holding = Found->second;
  return Holding.rateBound() > 0 || Holding.savedBound() > 0 ||
         Holding.burstBound() > 0;
}

void account_ledger::setIdle(const host_run &Host) {
  const auto Found = Holdings.find(Host);
  if (Found != Holdings.end())
    Found->second.Demand = Found->second.Wanted = 0;
}

double account_ledger::targetRate(double Demand, mono_time Now) {
  if (Now - RuleMadeAt >= RuleInterval) {
    std::vector<double> Demands;
    for (const auto &[Host, Holding] : Holdings)
      Demands.push_back(Holding.Demand);
    Rule = ruleFor(Rate, Demands);
    RuleMadeAt = Now;
  }
  return Rule.shareOf(Demand);
}

//! Room for the share's unused part: at least one request at each host, for a
//! host without that can do nothing with a share, and the rest by shares.
double account_ledger::targetDepth(const holding &Holding, double Share) const {
  const auto HostCount = static_cast<double>(Holdings.size());
  const double Most =
      std::max(Burst * SavedPartOfBurst, std::min(Burst, HostCount));
  const double ByShare =
      std::max(0.0, Most / 2 - HostCount) * Share / std::max(Rate, Share);
  double Depth = 1 + std::floor(std::min(Share * DepthSeconds, ByShare));
  const double Free = Most - Leased.Saved + Holding.savedBound();
  if (Depth + surplusLimit(Depth) > Free)
    Depth = std::floor(Free / 2);
  if (Depth < 1 && Free >= 1)
    Depth = 1;
  return std::max(0.0, Depth);
}

account_grant account_ledger::grant(const host_run &Host,
                                    std::string_view Account,
                                    std::uint64_t &NextGrantId, mono_time Now) {
  fill(Now);
  holding &Holding = Holdings[Host];
  const issued Last = Holding.Issued.empty() ? issued() : Holding.Issued.back();
  const double FreeRate =
      std::max(0.0, Rate - leasedRate()) + Holding.rateBound();
  double Share =
      shared() ? std::min(targetRate(Holding.Demand, Now), FreeRate) : 0;
  if (Share > 0 &&
      std::abs(Share - Last.RatePerSecond) <= ShareHysteresis * Share &&
      Last.RatePerSecond <= FreeRate)
    Share = Last.RatePerSecond;
  const double Depth = Share > 0 ? targetDepth(Holding, Share) : 0;
  if (Depth == 0)
    Share = 0;
  if (Holding.Issued.empty() || Share != Last.RatePerSecond ||
      Depth != Last.Depth) {
    const change_guard Guard(Leased, Holding);
    Holding.Issued.push_back({NextGrantId++, Share, Depth});
  }
  clip();
  const double Handed = std::min(Holding.Wanted, std::floor(Central));
  Central -= Handed;
  {
    const change_guard Guard(Leased, Holding);
    Holding.BurstTotal += Handed;
  }
  account_grant Grant;
  Grant.Account = Account;
  Grant.GrantId = Holding.Issued.back().Id;
  Grant.RatePerSecond = Share;
  Grant.Depth = Depth;
  Grant.BurstTotal = Holding.BurstTotal;
  Grant.SurplusSeen = Holding.SurplusSeen;
  Grant.Exhausted = Handed < std::floor(Holding.Wanted);
  Holding.Wanted = 0;
  return Grant;
}

} // namespace pomelo
