//! The shares of all client accounts at an entry host.
#ifndef POMELOSWITCH_ADMISSION_HOST_QUOTA_HPP
#define POMELOSWITCH_ADMISSION_HOST_QUOTA_HPP

#include "pomeloswitch/admission/account_bucket.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! The entry host's counterpart of rate_ledger. report() and apply() belong to
//! the control thread; bucket() and requestTokens() may be called on any
//! thread.
class host_quota {
public:
  using time_point = account_bucket::time_point;

  //! \p OnShortage asks for tokens ahead of the next heartbeat; it is called on
  //! the thread that calls requestTokens().
  explicit host_quota(std::function<void()> OnShortage)
      : OnShortage(std::move(OnShortage)) {}

  //! Returns the bucket of an account. It lives as long as this object, so
  //! traffic threads can look it up once and keep the reference.
  account_bucket &bucket(std::string_view Account);

  //! Asks for tokens for waiting requests, unless that has been asked since the
  //! latest report.
  void requestTokens();

  [[nodiscard]] quota_report report(time_point Now);
  //! Reports the accounts with a shortage of which the leader may have tokens.
  //! Of one that it had too few of it has more only after some time.
  [[nodiscard]] quota_report tokenReport(time_point Now);
  //! Whether requests wait for more tokens than are here.
  [[nodiscard]] bool hasShortage(time_point Now);

  //! Applies the answer to heartbeat \p Sequence, valid until \p Until. Answers
  //! to earlier heartbeats and from former leaders are ignored. Returns whether
  //! the leader should soon receive confirmation of the answer.
  bool apply(std::uint64_t Sequence, const quota_grant &Grant, time_point Until,
             time_point Now);
  //! Applies the answer to a token report. What it grants is valid as long as
  //! the answer to the latest heartbeat. Ignored as by apply(), and in another
  //! term or epoch. Returns whether it was applied.
  bool applyTokens(std::uint64_t Sequence, const quota_grant &Grant,
                   time_point Now);

private:
  [[nodiscard]] quota_report emptyReport(time_point Now) const;
  bool applyAccounts(const quota_grant &Grant, time_point Now);
  [[nodiscard]] bool isFormerTerm(std::uint64_t OtherTerm) const;
  void followLeader(const quota_grant &Grant, time_point Now);

  std::function<void()> OnShortage;
  std::atomic<bool> TokensRequested{false}; //!< Since the latest report.
  std::mutex Mutex;                         //!< Guards Buckets.
  std::map<std::string, std::unique_ptr<account_bucket>, std::less<>> Buckets;
  std::uint64_t LastSequence = 0;
  std::uint64_t Term = 0;
  std::uint64_t Epoch = 0;
  std::deque<std::uint64_t> FormerTerms;
  time_point ValidUntil{}; //!< Of the answer to the latest heartbeat.
  std::optional<time_point> AnsweredAt; //!< Last answer of any leader.
  std::optional<time_point> FormerLeaderAnsweredAt; //!< By the previous leader.
};

} // namespace pomelo

#endif
