//! The leader's ledger of the grants of one client account.
#ifndef POMELOSWITCH_ADMISSION_ACCOUNT_LEDGER_HPP
#define POMELOSWITCH_ADMISSION_ACCOUNT_LEDGER_HPP

#include "pomeloswitch/admission/account_quota.hpp"
#include "pomeloswitch/admission/rate_sharing.hpp"
#include "pomeloswitch/membership/lease_table.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace pomelo {

//! Host id and incarnation of one run of an entry process.
using host_incarnation = std::pair<std::string, std::uint64_t>;

//! Leases parts of the rate and burst of one account. At any time the rates
//! that hosts may be using add up to at most the rate of the account; the
//! central bucket plus the depths and burst tokens that hosts may hold add up
//! to at most its burst. Hence the fleet admits at most rate * W + burst in any
//! window W. Not thread-safe.
class account_ledger {
public:
  //! Starts with an empty central bucket, which \p Rate fills up to \p Burst.
  account_ledger(double Rate, double Burst, mono_time Now)
      : Rate(Rate), Burst(Burst), RefilledAt(Now) {}

  //! Sets the configured rate and burst, and the number of entry hosts that may
  //! use the account.
  void configure(double NewRate, double NewBurst, std::size_t HostCount,
                 mono_time Now);

  //! Whether the rate is divided among the hosts. Otherwise hosts get single
  //! tokens, which become invalid when the leader that granted them changes.
  [[nodiscard]] bool isShared() const;

  //! Empties the central bucket.
  void clearCentralBucket(mono_time Now);

  //! Adds the tokens of the full rate for the duration \p Gap, in which nothing
  //! was granted.
  void creditGap(milliseconds Gap, mono_time Now);

  //! Applies a report: which grants to \p Host have ended, what it used and
  //! returned, and its demand.
  void acknowledge(const host_incarnation &Host, const account_report &Report,
                   mono_time Now);

  //! Takes over a grant of an earlier leader.
  void inherit(const host_incarnation &Host, const account_report &Report);

  //! Decides the new grant of \p Host. Uses up \p NextGrantId if the grant
  //! differs from the previous one.
  account_grant grant(const host_incarnation &Host, std::string_view Account,
                      std::uint64_t &NextGrantId, mono_time Now);

  //! Releases everything \p Host held. Call only when its lease has certainly
  //! expired.
  void expire(const host_incarnation &Host, mono_time Now);

  //! Whether no host holds anything.
  [[nodiscard]] bool hasNoHoldings() const { return Holdings.empty(); }
  //! Whether \p Host may hold some of the rate or the burst.
  [[nodiscard]] bool hasHoldings(const host_incarnation &Host) const;
  //! Sets the demand of \p Host to zero.
  void setIdle(const host_incarnation &Host);
  //! Upper bound on the rate that hosts may be using, requests/s.
  [[nodiscard]] double leasedRate() const { return Leased.Rate; }
  //! Upper bound on the tokens stored anywhere, requests.
  [[nodiscard]] double stored() const;

private:
  struct issued_grant {
    std::uint64_t Id = 0;
    double RatePerSecond = 0;
    double Depth = 0;
  };
  struct host_holding {
    //! The last acknowledged grant and later ones.
    std::vector<issued_grant> IssuedGrants;
    double BurstTotal = 0;
    double BurstSpent = 0;
    double BurstReturned = 0;
    double SurplusSeen = 0;
    double Demand = 0;
    double Wanted = 0;
    double Spare = 0;

    [[nodiscard]] double rateBound() const;
    //! Upper bound on unused rate at the host and in transit to the leader.
    [[nodiscard]] double savedBound() const;
    [[nodiscard]] double burstBound() const {
      return BurstTotal - BurstSpent - BurstReturned;
    }
  };

  //! Sums over all holdings, kept up to date by change_guard.
  struct sums {
    double Rate = 0;
    double Saved = 0;
    double Burst = 0;
  };
  class change_guard;

  void refillCentral(mono_time Now);
  void clampCentral();
  double targetRate(double Demand, mono_time Now);
  [[nodiscard]] double targetDepth(const host_holding &Holding,
                                   double Share) const;
  double Rate = 0;
  double Burst = 0;
  std::size_t Hosts = 1;    //!< Entry hosts that may use it.
  double CentralTokens = 0; //!< In the central bucket.
  mono_time RefilledAt;
  std::map<host_incarnation, host_holding> Holdings;
  sums Leased;
  share_rule Rule;
  mono_time RuleComputedAt{};
};

} // namespace pomelo

#endif
