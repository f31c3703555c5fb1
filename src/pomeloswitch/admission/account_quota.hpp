//! Reports and grants of client account rates, exchanged between entry hosts
//! and the leader.
#ifndef POMELOSWITCH_ADMISSION_ACCOUNT_QUOTA_HPP
#define POMELOSWITCH_ADMISSION_ACCOUNT_QUOTA_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

//! State of one account at an entry host.
struct account_report {
  std::string Account;
  std::uint64_t GrantId = 0; //!< The current grant at the host.
  double RatePerSecond = 0;  //!< Of that grant.
  double Depth = 0;          //!< Of that grant, requests.
  double BurstSpent = 0;     //!< Burst tokens used since the epoch began.
  double BurstReturned = 0;  //!< Burst tokens returned in the epoch.
  double Surplus = 0;        //!< Unused rate returned in the epoch.
  double Demand = 0;         //!< Requests that arrive per second.
  double Wanted = 0;         //!< Burst tokens needed soon.
  double Spare = 0;          //!< More of them, for requests to come.
};

//! Quota report of an entry host, sent with its heartbeat.
struct quota_report {
  std::uint64_t Sequence = 0; //!< Of the heartbeat.
  std::uint64_t Term = 0;     //!< Term of the followed ledger.
  std::uint64_t Epoch = 0;    //!< Epoch of the ledger's host record.
  std::vector<account_report> Accounts;
  //! Time since the host was last answered by the leader before the one that it
  //! follows now; nothing if there was none.
  std::optional<std::chrono::milliseconds> EarlierAnswerAge;
};

//! Limits of one account at an entry host until its lease expires.
struct account_grant {
  std::string Account;
  std::uint64_t GrantId = 0; //!< Increases within a term.
  double RatePerSecond = 0;
  double Depth = 0;       //!< Limit of saved unused rate, requests.
  double BurstTotal = 0;  //!< Burst tokens handed out since the epoch began.
  double SurplusSeen = 0; //!< Returned rate seen by the leader.
  bool Exhausted = false; //!< The bucket covered less than Wanted.
};

//! The leader's answer to a quota_report.
struct quota_grant {
  std::uint64_t Term = 0;
  //! A host whose epoch differs from this one holds no burst tokens.
  std::uint64_t Epoch = 0;
  //! Set while a new leader collects what its predecessor granted: the host
  //! keeps its rates and depths and gets nothing else.
  bool KeepHeld = false;
  std::vector<account_grant> Accounts;
};

//! Upper bound on the unused rate in transit from a host, requests. \p Depth is
//! the depth of its grant. The rate counts as stored until the leader has seen
//! it.
inline double surplusLimit(double Depth) {
  constexpr double SmallestDepth = 4;
  return Depth < SmallestDepth ? 0 : Depth;
}

} // namespace pomelo

#endif
