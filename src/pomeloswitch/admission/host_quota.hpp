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

  //! \p OnShortage requests an early heartbeat; it is called on the thread that
  //! calls requestTokens().
  explicit host_quota(std::function<void()> OnShortage)
      : OnShortage(std::move(OnShortage)) {}

  //! Returns the bucket of an account. It lives as long as this object, so
  //! traffic threads can look it up once and keep the reference.
  account_bucket &bucket(std::string_view Account);

  //! Requests an early heartbeat for waiting requests, unless one was
  //! requested just before.
  void requestTokens(time_point Now);

  [[nodiscard]] quota_report report(time_point Now);

  //! Applies the answer to heartbeat \p Sequence, valid until \p Until. Answers
  //! to earlier heartbeats and from former leaders are ignored. Returns whether
  //! the leader should soon receive confirmation of the answer.
  bool apply(std::uint64_t Sequence, const quota_grant &Grant, time_point Until,
             time_point Now);

private:
  [[nodiscard]] bool isFormerTerm(std::uint64_t OtherTerm) const;
  void followLeader(const quota_grant &Grant, time_point Now);

  std::function<void()> OnShortage;
  std::atomic<time_point::rep> RequestedAt{0};
  std::mutex Mutex; //!< Guards Buckets.
  std::map<std::string, std::unique_ptr<account_bucket>, std::less<>> Buckets;
  std::uint64_t LastSequence = 0;
  std::uint64_t Term = 0;
  std::uint64_t Epoch = 0;
  std::deque<std::uint64_t> FormerTerms;
  std::optional<time_point> AnsweredAt; //!< Last answer of any leader.
  std::optional<time_point> FormerLeaderAnsweredAt; //!< By the previous leader.
};

} // namespace pomelo

#endif
