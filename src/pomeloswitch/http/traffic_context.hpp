//! State that the requests of one traffic thread share.
#ifndef POMELOSWITCH_HTTP_TRAFFIC_CONTEXT_HPP
#define POMELOSWITCH_HTTP_TRAFFIC_CONTEXT_HPP

#include "pomeloswitch/admission/host_quota.hpp"
#include "pomeloswitch/clock/lease_clock.hpp"
#include "pomeloswitch/http/in_flight_table.hpp"
#include "pomeloswitch/http/open_requests.hpp"
#include "pomeloswitch/http/target_dialect.hpp"
#include "pomeloswitch/http/token_waiters.hpp"
#include "pomeloswitch/http/upstream_pool.hpp"
#include "pomeloswitch/observe/metrics.hpp"
#include "pomeloswitch/observe/trace.hpp"
#include "pomeloswitch/retry/crash_detector.hpp"
#include "pomeloswitch/retry/request_state_client.hpp"
#include "pomeloswitch/retry/retry_budget.hpp"
#include "pomeloswitch/rollout/rollout_meter.hpp"
#include "pomeloswitch/sending/send_state.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pomelo {

//! The entry host's lease on routing, granted by the control group. Traffic
//! threads check it directly before they send; extendTo() may be called from
//! another thread.
class routing_lease {
public:
  void extendTo(lease_time Until) {
    ValidUntil.store(Until.time_since_epoch().count(),
                     std::memory_order_release);
  }
  //! As if there had never been a lease: the state is known to be outdated.
  void forget() { extendTo(lease_time()); }
  //! Whether the state that the host routes by was ever vouched for.
  [[nodiscard]] bool everGranted() const {
    return ValidUntil.load(std::memory_order_acquire) != 0;
  }
  //! Time until the lease expires; negative afterwards.
  [[nodiscard]] lease_time::duration remaining() const {
    const lease_time Until(
        lease_time::duration(ValidUntil.load(std::memory_order_acquire)));
    return Until - lease_clock::now();
  }
  [[nodiscard]] bool valid() const { return remaining().count() > 0; }

private:
  std::atomic<lease_time::rep> ValidUntil{0};
};

//! Owned by one traffic thread; provides no locking.
struct traffic_context {
  traffic_context(boost::asio::io_context &Io,
                  const routing_lease &RoutingLease, host_quota &Quota,
                  std::string ClusterSecret, std::string FailureDomain,
                  const target_dialect &Dialect, retry_limits Retries = {})
      : Io(Io), RoutingLease(RoutingLease), Quota(Quota), Dialect(Dialect),
        ClusterSecret(std::move(ClusterSecret)), Pool(Io.get_executor()),
        Sending(std::move(FailureDomain), std::random_device()()),
        Retries(Retries) {}

  //! Tells when the process ends. Requests that would hardly be finished by
  //! then are refused; those still open StopMargin before are ended.
  void announceEnd(std::chrono::steady_clock::time_point Time) {
    EndsAt = Time;
    EndTimer.expires_at(Time - StopMargin);
    EndTimer.async_wait([this](boost::system::error_code Error) {
      if (Error)
        return;
      Pool.endWaits();
      OpenRequests.end();
    });
  }

  boost::asio::io_context &Io;
  const routing_lease &RoutingLease;
  host_quota &Quota; //!< Shared by all traffic threads of the entry host.
  const target_dialect &Dialect;
  //! This thread's cache of buckets of Quota, by client account.
  std::map<std::string, account_bucket *, std::less<>> Buckets;
  token_waiters TokenWaiters;
  std::string ClusterSecret;
  std::shared_ptr<const routing_view> View = std::make_shared<routing_view>();
  upstream_pool Pool;
  in_flight_table InFlightRequests;
  open_requests OpenRequests;
  send_state Sending;
  retry_budget Retries;
  rollout_meter Rollouts;
  metric_set Metrics;
  span_sink *Spans = nullptr; //!< Null if tracing is disabled.
  crash_detector ConnectionLosses;
  request_state_client *Records = nullptr; //!< Set before the first request.
  bool Stopping = false; //!< No connection is kept for a further request.
  //! Called when a target has said something new about further requests, for
  //! the other threads of the host; may be empty.
  std::function<void(routing_target_ptr, const target_notice &)> OnNotice;
  //! When the process ends, once its stop has begun.
  std::optional<std::chrono::steady_clock::time_point> EndsAt;
  boost::asio::steady_timer EndTimer{Io};
};

} // namespace pomelo

#endif
