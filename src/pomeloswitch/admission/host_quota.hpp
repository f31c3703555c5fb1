//! All client accounts' parts of their rates at an entry host.
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

//! The entry host's side of rate_ledger. Reports and grants belong to the
//! control thread; bucket() and askForMore() may be called on any thread.
class host_quota {
public:
  using time_point = account_bucket::time_point;

  //! \p OnShortage asks for a heartbeat soon; it is called on the thread that
  //! calls askForMore().
  explicit host_quota(std::function<void()> OnShortage)
      : OnShortage(std::move(OnShortage)) {}

  //! The bucket of an account. It lives as long as this object, so that
  //! traffic threads look it up once.
  account_bucket &bucket(std::string_view Account);

  //! Has a request wait for tokens: a heartbeat is sent soon, unless one was
  //! asked for a moment ago.
  void askForMore(time_point Now);

  [[nodiscard]] quota_report report(time_point Now);

  //! Takes over the answer to heartbeat \p Sequence, which counts until
  //! \p Until. Answers to earlier heartbeats and of leaders that were left are
  //! ignored. Returns whether the leader should hear soon that it arrived.
  bool apply(std::uint64_t Sequence, const quota_grant &Grant, time_point Until,
             time_point Now);

private:
  [[nodiscard]] bool leftBefore(std::uint64_t OtherTerm) const;
  void follow(const quota_grant &Grant, time_point Now);

  std::function<void()> OnShortage;
  std::atomic<time_point::rep> AskedAt{0};
  std::mutex Mutex; //!< Guards Buckets.
  std::map<std::string, std::unique_ptr<account_bucket>, std::less<>> Buckets;
  std::uint64_t LastSequence = 0;
  std::uint64_t Term = 0;
  std::uint64_t Epoch = 0;
  std::deque<std::uint64_t> LeftTerms;
  std::optional<time_point> AnsweredAt;        //!< By any leader.
  std::optional<time_point> EarlierAnsweredAt; //!< By the leader left last.
};

} // namespace pomelo

#endif
