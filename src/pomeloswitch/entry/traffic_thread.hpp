//! A thread with its own I/O context that serves callers.
#ifndef POMELOSWITCH_ENTRY_TRAFFIC_THREAD_HPP
#define POMELOSWITCH_ENTRY_TRAFFIC_THREAD_HPP

#include "pomeloswitch/http/caller_server.hpp"
#include "pomeloswitch/http/emptied_io_context.hpp"
#include "pomeloswitch/http/traffic_context.hpp"

#include "pomeloswitch/sending/subset_monitor.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace pomelo {

//! Accepts callers' connections and forwards their requests. Functions marked
//! "any thread" are thread-safe.
class traffic_thread {
public:
  //! \p Link paces this thread's part of the host's link.
  traffic_thread(host_quota &Quota, const std::string &ClusterSecret,
                 const std::string &FailureDomain,
                 const target_dialect &Dialect, retry_limits Retries,
                 link_pacer Link, const boost::asio::ip::tcp::endpoint &Address,
                 caller_limits Limits);
  ~traffic_thread();

  //! Stops the thread and waits for its end; what is open ends with the object.
  void join();

  //! Sets the store for request records. Call before start().
  void useRecords(request_state_client &Records) { Context.Records = &Records; }

  //! Sets the sink for trace spans. Call before start().
  void useSpans(span_sink &Spans) { Context.Spans = &Spans; }

  void start();

  //! Any thread: makes this thread route by \p View.
  void adoptView(std::shared_ptr<const routing_view> View);

  //! Any thread: allows routing until \p Until. Takes effect after all views
  //! passed to adoptView() before, so the thread never routes by an older view
  //! under the new lease.
  void extendAuthority(lease_time Until);

  //! Any thread: the views so far are known to be outdated and may not serve
  //! open routes without a new lease.
  void endIsolation();

  //! Sets what is called, on this thread, when a target has said something new
  //! about further requests. Call before start().
  void useNotices(
      std::function<void(routing_target_ptr, const target_notice &)> OnNotice) {
    Context.OnNotice = std::move(OnNotice);
  }
  //! Any thread: makes this thread obey what another one has heard.
  void adoptNotice(routing_target_ptr Target, const target_notice &Notice);

  //! Any thread: bounds the requests sent to overloaded owners of keys.
  void adoptShares(owner_shares::share_map Shares);

  //! Any thread: lets the requests go on that wait for tokens, as far as there
  //! are some.
  void wakeTokenWaiters();

  //! Any thread: as traffic_context::announceEnd().
  void announceEnd(std::chrono::steady_clock::time_point EndsAt);

  //! Any thread: logs the open requests at a step of the host's stop.
  void logOpenRequests(std::string_view Step);

  //! Any thread: stops accepting; \p OnIdle is called on the traffic thread
  //! once the last open request has been answered.
  void beginStop(std::function<void()> OnIdle);

  //! Any thread: returns the view that this thread routes by.
  [[nodiscard]] std::shared_ptr<const routing_view> adoptedView() const {
    return Adopted.load(std::memory_order_acquire);
  }

  //! Any thread: returns the last published in_flight_table::quiescedIndex().
  [[nodiscard]] std::uint64_t quiescedIndex() const {
    return PublishedQuiescedIndex.load(std::memory_order_acquire);
  }

  //! Load measured by one thread, reported to the leader.
  struct load_report {
    slot_rates Rates;
    std::map<std::string, double> ResponseSeconds; //!< By target id.
  };
  //! Any thread: returns the latest report, or null before the first.
  [[nodiscard]] std::shared_ptr<const load_report> loads() const {
    return Loads.load(std::memory_order_acquire);
  }

  //! Any thread: returns the latest counts of the roll-outs under way, or null
  //! if there are none.
  [[nodiscard]] std::shared_ptr<const outcomes_by_service> outcomes() const {
    return Outcomes.load(std::memory_order_acquire);
  }

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const {
    return Server.address();
  }
  //! Returns a copy of this thread's metrics, taken on this thread.
  boost::asio::awaitable<metric_set> metrics();

private:
  void updateQuiescedIndex();
  void reportRestarts();
  void tick();
  void publishLoads(steady_time Now);
  void publishOutcomes(steady_time Now);
  void reportSubsets(steady_time Now);
  void dropEndedRollouts();
  void awaitIdle(std::function<void()> OnIdle);

  void writeOpenRequests(std::string_view Step) const;

  emptied_io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  routing_lease RoutingLease;
  traffic_context Context;
  caller_server Server;
  boost::asio::steady_timer Ticker;
  boost::asio::steady_timer IdleTimer;
  std::atomic<std::uint64_t> PublishedQuiescedIndex{0};
  std::atomic<std::shared_ptr<const load_report>> Loads;
  steady_time NextLoadsAt{};
  subset_monitor Subsets;
  steady_time NextSubsetsAt{};
  std::atomic<std::shared_ptr<const outcomes_by_service>> Outcomes;
  steady_time NextOutcomesAt{};
  std::atomic<std::shared_ptr<const routing_view>> Adopted{
      std::make_shared<const routing_view>()};
  std::thread Thread;
};

} // namespace pomelo

#endif
