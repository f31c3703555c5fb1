//! One client account's part of its rate at an entry host.
#ifndef POMELOSWITCH_ADMISSION_ACCOUNT_BUCKET_HPP
#define POMELOSWITCH_ADMISSION_ACCOUNT_BUCKET_HPP

#include "pomeloswitch/admission/account_quota.hpp"
#include "pomeloswitch/admission/demand_meter.hpp"

#include <chrono>
#include <mutex>
#include <string>

namespace pomelo {

//! Admits requests from a leased share of the rate and from burst tokens that
//! the leader handed out. Begins with nothing, and has nothing once its lease
//! ran out. Any thread may call it; the lock is held for a few dozen
//! nanoseconds and there is one for each account.
class account_bucket {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit account_bucket(std::string Account) : Account(std::move(Account)) {}

  //! Counts a new request and admits it if there is something left for it.
  bool admitArrival(time_point Now);

  //! Tries again for a request that arrived before.
  bool admitWaiting(time_point Now);

  //! Lets a request wait for its share or for more tokens, unless neither is
  //! likely to come within \p MaxWait. One that may wait calls endWait() later.
  bool beginWait(time_point Now, std::chrono::milliseconds MaxWait);
  void endWait();

  //! Whether the leader has decided what the account gets here. A host that
  //! newly joined or follows a new leader has to wait for that.
  [[nodiscard]] bool decided(time_point Now) const;

  //! Whether the leader has answered for the account since \p Since.
  [[nodiscard]] bool answeredSince(time_point Since) const;

  //! When a refused request may come back.
  [[nodiscard]] std::chrono::milliseconds retryAfter() const;

  // For host_quota, on the control thread.

  //! Puts a grant in force until \p Until. \p AllKnown tells whether the leader
  //! knows all that it can hand out. Returns whether the grant takes rate back,
  //! which others get only once the leader has heard of it.
  bool apply(const account_grant &Grant, bool AllKnown, time_point Until,
             time_point Now);
  //! Goes on with what is held until \p Until.
  void extend(time_point Until, time_point Now);
  //! Another ledger's grants follow: numbers begin anew and burst tokens end.
  void beginEpoch(bool NewTerm, time_point Now);
  [[nodiscard]] account_report report(time_point Now);
  //! Whether the leader need not hear of the account.
  [[nodiscard]] bool idle(time_point Now);

private:
  void update(time_point Now);
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
  double Surplus = 0;     //!< Unused rate given back, requests.
  double SurplusSeen = 0; //!< The part of it that the leader has seen.
  bool Exhausted = false;
  bool Decided = false;    //!< A grant has come in this epoch.
  bool Unreported = false; //!< A grant has come that no report tells of yet.
  unsigned Waiting = 0;
  demand_meter Demand;
  time_point UpdatedAt{};
  time_point ValidUntil{};
  time_point AnsweredAt{};

  [[nodiscard]] double burstHeld() const {
    return BurstTotal - BurstSpent - BurstReturned;
  }
};

} // namespace pomelo

#endif
