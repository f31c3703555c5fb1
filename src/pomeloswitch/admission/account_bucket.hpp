//! One client account's share of its rate at an entry host.
#ifndef POMELOSWITCH_ADMISSION_ACCOUNT_BUCKET_HPP
#define POMELOSWITCH_ADMISSION_ACCOUNT_BUCKET_HPP

#include "pomeloswitch/admission/account_quota.hpp"
#include "pomeloswitch/admission/demand_meter.hpp"

#include <chrono>
#include <mutex>
#include <string>

namespace pomelo {

//! Admits requests from a leased share of the rate and from burst tokens handed
//! out by the leader. It starts empty and is empty again once its lease has
//! expired. Thread-safe; the lock is per account and held for a few dozen
//! nanoseconds.
class account_bucket {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit account_bucket(std::string Account) : Account(std::move(Account)) {}

  //! Counts a new request and admits it if a token is available.
  bool admitArrival(time_point Now);

  //! Whether a request would be admitted now.
  [[nodiscard]] bool hasToken(time_point Now);

  //! Tries to admit a waiting request that was counted on arrival.
  bool admitWaiting(time_point Now);

  //! Registers a waiting request. Returns false if neither its share nor more
  //! burst tokens are likely to suffice within \p MaxWait or too many requests
  //! wait. After true, the caller must call endWait().
  bool beginWait(time_point Now, std::chrono::milliseconds MaxWait);
  void endWait();

  //! Whether the leader has decided the share of the account at this host. A
  //! host that has just joined or follows a new leader has to wait for it.
  [[nodiscard]] bool isDecided(time_point Now) const;

  //! Whether the leader has answered for the account since \p Since.
  [[nodiscard]] bool answeredSince(time_point Since) const;

  //! Time after which a refused request should be retried.
  [[nodiscard]] std::chrono::milliseconds retryAfter() const;

  // The functions below are for host_quota, on the control thread.

  //! Applies a grant that is valid until \p Until. \p LeaderInformed tells
  //! whether the leader knows everything it can hand out. Returns whether the
  //! grant lowers the rate, in which case the leader can lease it to others
  //! only after the host has reported it.
  bool apply(const account_grant &Grant, bool LeaderInformed, time_point Until,
             time_point Now);
  //! Extends what the bucket holds until \p Until, after a heartbeat.
  void extend(time_point Until, time_point Now);
  //! Starts following a new ledger epoch: counters restart at zero and burst
  //! tokens are dropped.
  void beginEpoch(bool NewTerm, time_point Now);
  [[nodiscard]] account_report report(time_point Now);
  //! Like report(), for a message between two heartbeats. The next heartbeat
  //! reports again.
  [[nodiscard]] account_report tokenReport(time_point Now);
  //! Whether requests wait for more tokens than are here.
  [[nodiscard]] bool hasShortage(time_point Now);
  //! Whether a token report of the account has not brought all that it asked
  //! for since the latest heartbeat was answered.
  [[nodiscard]] bool askedInVain() const;
  //! Whether the account can be left out of reports.
  [[nodiscard]] bool isIdle(time_point Now);

private:
  void update(time_point Now);
  account_report makeReport(time_point Now);
  [[nodiscard]] double expectedShortfall(double DemandNow) const;
  [[nodiscard]] double spareTokens(double Shortfall) const;
  void giveBackUnused(double DemandNow);
  bool take(time_point Now);

  mutable std::mutex Mutex;
  std::string Account;
  std::uint64_t GrantId = 0;
  double RatePerSecond = 0;
  double Depth = 0;
  double Level = 0; //!< Unused part of the share, requests.
  double BurstTotal = 0;
  double BurstSpent = 0;
  double BurstReturned = 0;
  double Surplus = 0;     //!< Unused rate returned, requests.
  double SurplusSeen = 0; //!< Surplus confirmed by the leader.
  bool Exhausted = false;
  bool AskedInVain = false;
  bool Decided = false; //!< The leader has decided in this epoch.
  //! Whether the leader needs another report to know the latest grant in use
  //! and the burst tokens spent.
  bool Unreported = false;
  unsigned Waiting = 0;
  demand_meter Demand;
  bool Recurring = false; //!< The latest arrival met demand of earlier ones.
  time_point UpdatedAt{};
  time_point ValidUntil{};
  time_point AnsweredAt{};

  [[nodiscard]] double heldBurst() const {
    return BurstTotal - BurstSpent - BurstReturned;
  }
};

} // namespace pomelo

#endif
