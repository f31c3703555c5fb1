#include "pomeloswitch/http/account_admission.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

//! Covers the interval of heartbeats and a round trip to the leader.
constexpr milliseconds MaxWait{250};
//! A new leader answers within this time. Until it does, it is not known
//! whether the account exceeds its rate.
constexpr milliseconds MaxUnansweredWait{1000};
//! Tokens from the leader wake the request earlier.
constexpr milliseconds PollInterval{5};

account_bucket &bucketOf(traffic_context &Context, std::string_view Account) {
  const auto Known = Context.Buckets.find(Account);
  if (Known != Context.Buckets.end())
    return *Known->second;
  account_bucket &Bucket = Context.Quota.bucket(Account);
  Context.Buckets.emplace(Account, &Bucket);
  return Bucket;
}

//! Counts a request as waiting for tokens during its own lifetime. The caller
//! must have called beginWait().
class waiting_request_guard {
public:
  explicit waiting_request_guard(account_bucket &Bucket) : Bucket(Bucket) {}
  ~waiting_request_guard() { Bucket.endWait(); }
  waiting_request_guard(const waiting_request_guard &) = delete;
  waiting_request_guard &operator=(const waiting_request_guard &) = delete;

private:
  account_bucket &Bucket;
};

asio::awaitable<bool> awaitTokens(traffic_context &Context,
                                  account_bucket &Bucket,
                                  steady_time Deadline) {
  const waiting_request_guard WaitingGuard(Bucket);
  asio::steady_timer Timer(Context.Io);
  const token_waiters::registration Registration(Context.TokenWaiters, Bucket,
                                                 Timer);
  auto Now = steady_clock::now();
  const steady_time WaitStart = Now;
  steady_time WaitUntil = Now + MaxWait;
  const steady_time LatestWaitUntil =
      std::min(Deadline, Now + MaxUnansweredWait);
  const auto Unanswered = [&] {
    return !Bucket.isDecided(Now) || !Bucket.answeredSince(WaitStart);
  };
  while (Now < Deadline && Now < WaitUntil) {
    // Tokens from the leader arrive only after its answer, so MaxWait is
    // counted from that answer.
    if (Unanswered())
      WaitUntil = std::min(LatestWaitUntil, Now + MaxWait);
    Context.Quota.requestTokens();
    Timer.expires_at(std::min(Deadline, Now + PollInterval));
    boost::system::error_code Woken;
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Woken));
    Now = steady_clock::now();
    if (Bucket.admitWaiting(Now))
      co_return true;
  }
  co_return false;
}

std::string describeExcess(const routing_view &View, std::string_view Account) {
  const client_account *Known =
      View.Inventory ? View.Inventory->findAccount(Account) : nullptr;
  return Known ? fmt::format("the client account {} exceeds its rate of {}/s "
                             "and its burst of {}",
                             Account, Known->RatePerSecond, Known->Burst)
               : fmt::format("the client account {} exceeds its rate", Account);
}

} // namespace

asio::awaitable<void> awaitAccountAdmission(traffic_context &Context,
                                            std::string_view Account,
                                            steady_time Deadline) {
  account_bucket &Bucket = bucketOf(Context, Account);
  const steady_time Now = steady_clock::now();
  if (Bucket.admitArrival(Now))
    co_return;
  if (Bucket.beginWait(Now, MaxWait)) {
    const bool Admitted = co_await awaitTokens(Context, Bucket, Deadline);
    if (Admitted)
      co_return;
  }
  if (!Bucket.isDecided(steady_clock::now()))
    throw pomelo_error(error_kind::NotAuthoritative,
                       "this entry host has no quota grant for the account");
  throw pomelo_error(error_kind::RateExceeded,
                     describeExcess(*Context.View, Account),
                     Bucket.retryAfter());
}

} // namespace pomelo
