//! The leader's account of one client account: what is leased to whom.
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

//! One run of an entry process: host id and incarnation.
using host_run = std::pair<std::string, std::uint64_t>;

//! Leases parts of one account's rate and burst. At any time the rates that
//! hosts may be using add up to at most the account's rate, and the central
//! bucket, the depths and the burst tokens that they may hold to at most its
//! burst. Hence the fleet admits at most rate * W + burst in any window W.
//! Not thread-safe.
class account_ledger {
public:
  //! The central bucket begins empty; \p Rate fills it up to \p Burst.
  account_ledger(double Rate, double Burst, mono_time Now)
      : Rate(Rate), Burst(Burst), FilledAt(Now) {}

  //! Takes on the account's configured rate and burst, and how many entry
  //! hosts may use it.
  void configure(double NewRate, double NewBurst, std::size_t HostCount,
                 mono_time Now);

  //! Whether the rate is shared out among the hosts; else they get single
  //! tokens, which end with the leader that handed them out.
  [[nodiscard]] bool shared() const;

  //! Empties the central bucket.
  void empty(mono_time Now);

  //! Adds what the whole rate brought in \p Gap, in which nothing was granted.
  void credit(milliseconds Gap, mono_time Now);

  //! Learns which of the grants given to \p Host have ended, and its demand.
  void acknowledge(const host_run &Host, const account_report &Report,
                   mono_time Now);

  //! Takes over a grant that an earlier leader gave.
  void inherit(const host_run &Host, const account_report &Report);

  //! Decides what \p Host has from now on. \p NextGrantId is used up if that
  //! differs from before.
  account_grant grant(const host_run &Host, std::string_view Account,
                      std::uint64_t &NextGrantId, mono_time Now);

  //! Frees what \p Host held. Call only when its lease has surely run out.
  void expire(const host_run &Host, mono_time Now);

  //! Whether no host holds anything.
  [[nodiscard]] bool unused() const { return Holdings.empty(); }
  //! Whether \p Host may have some of the rate or the burst.
  [[nodiscard]] bool holds(const host_run &Host) const;
  //! The account gets no requests at \p Host.
  void setIdle(const host_run &Host);
  //! Most that the hosts may be using, requests/s.
  [[nodiscard]] double leasedRate() const { return Leased.Rate; }
  //! Most that is stored anywhere, requests.
  [[nodiscard]] double stored() const;

private:
  struct issued {
    std::uint64_t Id = 0;
    double RatePerSecond = 0;
    double Depth = 0;
  };
  struct holding {
    std::vector<issued> Issued; //!< The last acknowledged one and later ones.
    double BurstTotal = 0;
    double BurstSpent = 0;
    double BurstReturned = 0;
    double SurplusSeen = 0;
    double Demand = 0;
    double Wanted = 0;

    [[nodiscard]] double rateBound() const;
    //! Most unused rate at the host and on its way back.
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

  void fill(mono_time Now);
  void clip();
  double targetRate(double Demand, mono_time Now);
  [[nodiscard]] double targetDepth(const holding &Holding, double Share) const;
  double Rate = 0;
  double Burst = 0;
  std::size_t Hosts = 1; //!< That may use the account.
  double Central = 0;    //!< Tokens in the central bucket.
  mono_time FilledAt;
  std::map<host_run, holding> Holdings;
  sums Leased;
  share_rule Rule;
  mono_time RuleMadeAt{};
};

} // namespace pomelo

#endif
