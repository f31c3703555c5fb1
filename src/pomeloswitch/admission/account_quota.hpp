//! What an entry host and the leader tell each other about client accounts'
//! rates.
#ifndef POMELOSWITCH_ADMISSION_ACCOUNT_QUOTA_HPP
#define POMELOSWITCH_ADMISSION_ACCOUNT_QUOTA_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

//! One account as an entry host sees it.
struct account_report {
  std::string Account;
  std::uint64_t GrantId = 0; //!< The grant that is in force at the host.
  double RatePerSecond = 0;  //!< Of that grant.
  double Depth = 0;          //!< Of that grant, requests.
  double BurstSpent = 0;     //!< Burst tokens used up, since the epoch began.
  double BurstReturned = 0;  //!< Burst tokens given back, likewise.
  double Surplus = 0;        //!< Unused rate given back, likewise.
  double Demand = 0;         //!< Requests that arrive per second.
  double Wanted = 0;         //!< Burst tokens that would be used soon.
};

//! An entry host's part of a heartbeat.
struct quota_report {
  std::uint64_t Sequence = 0; //!< Of the heartbeat.
  std::uint64_t Term = 0;     //!< Of the ledger that the host follows.
  std::uint64_t Epoch = 0;    //!< Of the record that the ledger has of it.
  std::vector<account_report> Accounts;
  //! How long ago the host was last answered by a leader before the one it
  //! follows; none if it never was.
  std::optional<std::chrono::milliseconds> EarlierAnswerAge;
};

//! What one account may do at an entry host until its lease runs out.
struct account_grant {
  std::string Account;
  std::uint64_t GrantId = 0; //!< Only grows within a term.
  double RatePerSecond = 0;
  double Depth = 0;       //!< Most that unused rate adds up to, requests.
  double BurstTotal = 0;  //!< Burst tokens handed out since the epoch began.
  double SurplusSeen = 0; //!< Unused rate that the leader has taken back.
  bool Exhausted = false; //!< The central bucket has nothing left to hand out.
};

//! The leader's answer to a quota_report.
struct quota_grant {
  std::uint64_t Term = 0;
  //! A host that is told another epoch than its own holds no burst tokens.
  std::uint64_t Epoch = 0;
  //! Set while a new leader learns what its predecessor granted: the host
  //! keeps its rates and depths and gets nothing else.
  bool KeepHeld = false;
  std::vector<account_grant> Accounts;
};

//! Most unused rate that may be on its way back from a host whose grant has
//! \p Depth, requests. It counts as stored until the leader has seen it.
inline double surplusLimit(double Depth) {
  constexpr double SmallestDepth = 4;
  return Depth < SmallestDepth ? 0 : Depth;
}

} // namespace pomelo

#endif
