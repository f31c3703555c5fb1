//! One thread that serves callers.
#ifndef POMELOSWITCH_ENTRY_TRAFFIC_THREAD_HPP
#define POMELOSWITCH_ENTRY_TRAFFIC_THREAD_HPP

#include "pomeloswitch/http/caller_server.hpp"
#include "pomeloswitch/http/traffic_context.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace pomelo {

class traffic_thread {
public:
  traffic_thread(host_quota &Quota, const std::string &ClusterSecret,
                 const std::string &FailureDomain,
                 const target_dialect &Dialect, retry_limits Retries,
                 const boost::asio::ip::tcp::endpoint &Address,
                 caller_limits Limits);
  ~traffic_thread();

  //! Before start(): where the requests' records are kept.
  void useRecords(request_state_client &Records) { Context.Records = &Records; }

  //! Before start(): where spans are collected.
  void useSpans(span_sink &Spans) { Context.Spans = &Spans; }

  void start();

  //! Any thread: routes by \p View from now on.
  void adopt(std::shared_ptr<const routing_view> View);

  //! Any thread: may route until then. Takes effect after every view that was
  //! adopted before, so the right never comes with an older view.
  void extendAuthority(lease_time Until);

  //! Any thread: stops accepting; \p OnIdle is called on the traffic thread
  //! once the last open request has been answered.
  void beginStop(std::function<void()> OnIdle);

  //! Any thread: the view that this thread routes by.
  [[nodiscard]] std::shared_ptr<const routing_view> adoptedView() const {
    return Adopted.load(std::memory_order_acquire);
  }

  //! Any thread: see in_flight_table::quiescedIndex().
  [[nodiscard]] std::uint64_t quiescedIndex() const {
    return Quiesced.load(std::memory_order_acquire);
  }

  //! What one thread tells the leader about load.
  struct load_report {
    slot_rates Rates;
    std::map<std::string, double> Speeds; //!< Seconds, by target.
  };
  //! Any thread: the latest report, or null before the first.
  [[nodiscard]] std::shared_ptr<const load_report> loads() const {
    return Loads.load(std::memory_order_acquire);
  }

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const {
    return Server.address();
  }
  //! A copy of this thread's metrics, made on this thread.
  boost::asio::awaitable<metric_set> metrics();

private:
  void updateQuiesced();
  void reportRestarts();
  void tick();
  void publishLoads(steady_time Now);
  void awaitIdle(std::function<void()> OnIdle);

  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  routing_lease RoutingLease;
  traffic_context Context;
  caller_server Server;
  boost::asio::steady_timer Ticker;
  boost::asio::steady_timer IdleTimer;
  std::atomic<std::uint64_t> Quiesced{0};
  std::atomic<std::shared_ptr<const load_report>> Loads;
  steady_time LoadsDue{};
  std::atomic<std::shared_ptr<const routing_view>> Adopted{
      std::make_shared<const routing_view>()};
  std::thread Thread;
};

} // namespace pomelo

#endif
