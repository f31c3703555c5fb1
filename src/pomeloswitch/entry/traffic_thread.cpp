#include "pomeloswitch/entry/traffic_thread.hpp"

#include "pomeloswitch/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <chrono>

namespace pomelo {
namespace {

constexpr auto TickInterval = std::chrono::milliseconds(20);
constexpr auto LoadsInterval = std::chrono::milliseconds(1000);
constexpr auto SubsetsInterval = std::chrono::milliseconds(1000);
//! Of the counts of roll-outs; as often as heartbeats are sent.
constexpr auto OutcomesInterval = std::chrono::milliseconds(200);

} // namespace

traffic_thread::traffic_thread(host_quota &Quota,
                               const std::string &ClusterSecret,
                               const std::string &FailureDomain,
                               const target_dialect &Dialect,
                               retry_limits Retries, link_pacer Link,
                               const boost::asio::ip::tcp::endpoint &Address,
                               caller_limits Limits)
    : Work(boost::asio::make_work_guard(Io)),
      Context(Io, RoutingLease, Quota, ClusterSecret, FailureDomain, Dialect,
              Retries),
      Server(Context, Address, Limits), Ticker(Io), IdleTimer(Io) {
  Context.Sending.Link = Link;
}

void traffic_thread::join() {
  Io.stop();
  if (Thread.joinable())
    Thread.join();
}

traffic_thread::~traffic_thread() {
  join();
  writeOpenRequests("stop_ended");
  Io.shutdown();
}

void traffic_thread::start() {
  tick();
  Thread = std::thread([this] { Io.run(); });
}

boost::asio::awaitable<metric_set> traffic_thread::metrics() {
  const auto Copy = [this]() -> boost::asio::awaitable<metric_set> {
    co_return Context.Metrics;
  };
  co_return co_await boost::asio::co_spawn(Io, Copy,
                                           boost::asio::use_awaitable);
}

void traffic_thread::adoptView(std::shared_ptr<const routing_view> View) {
  boost::asio::post(Io, [this, View = std::move(View)] {
    Context.View = View;
    Context.Pool.retain(*View);
    Context.Sending.Statistics.retain(*View);
    Context.Sending.Notices.retain(*View, std::chrono::steady_clock::now());
    Context.Sending.WaitQueues.removeEmptyQueues();
    dropEndedRollouts();
    reportRestarts();
    updateQuiescedIndex();
    Adopted.store(View, std::memory_order_release);
  });
}

void traffic_thread::dropEndedRollouts() {
  if (Context.Rollouts.outcomes().empty())
    return;
  Context.Rollouts.retain(
      [this](std::string_view Name, std::uint64_t StartedIndex) {
        const routing_service *Service = Context.View->findService(Name);
        return Service && Service->Split &&
               Service->Split->StartedIndex == StartedIndex;
      });
  if (Context.Rollouts.outcomes().empty())
    Outcomes.store(nullptr, std::memory_order_release);
}

void traffic_thread::extendAuthority(lease_time Until) {
  boost::asio::post(Io, [this, Until] { RoutingLease.extendTo(Until); });
}

void traffic_thread::endIsolation() {
  boost::asio::post(Io, [this] { RoutingLease.forget(); });
}

void traffic_thread::adoptNotice(routing_target_ptr Target,
                                 const target_notice &Notice) {
  boost::asio::post(Io, [this, Target = std::move(Target), Notice] {
    Context.Sending.Notices.record(*Target, Notice,
                                   std::chrono::steady_clock::now());
  });
}

void traffic_thread::adoptShares(owner_shares::share_map Shares) {
  boost::asio::post(Io, [this, Shares = std::move(Shares)]() mutable {
    Context.Sending.OwnerShares.adopt(std::move(Shares),
                                      std::chrono::steady_clock::now());
  });
}

void traffic_thread::wakeTokenWaiters() {
  boost::asio::post(Io, [this] {
    Context.TokenWaiters.wake(std::chrono::steady_clock::now());
  });
}

void traffic_thread::logOpenRequests(std::string_view Step) {
  boost::asio::post(Io, [this, Step] { writeOpenRequests(Step); });
}

void traffic_thread::writeOpenRequests(std::string_view Step) const {
  const auto Now = std::chrono::steady_clock::now();
  boost::json::object Phases;
  for (const auto &[Phase, Count] : Context.OpenRequests.byPhase())
    Phases[nameOf(Phase)] = Count;
  const auto Oldest = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now - Context.OpenRequests.oldest().value_or(Now));
  component_logger("entry").event(log_level::Info, Step,
                                  {{"requests", Context.OpenRequests.size()},
                                   {"connections", Server.connectionCount()},
                                   {"phases", Phases},
                                   {"oldest_ms", Oldest.count()}});
}

void traffic_thread::announceEnd(std::chrono::steady_clock::time_point EndsAt) {
  boost::asio::post(Io, [this, EndsAt] { Context.announceEnd(EndsAt); });
}

void traffic_thread::beginStop(std::function<void()> OnIdle) {
  boost::asio::post(Io, [this, OnIdle = std::move(OnIdle)] {
    Context.Stopping = true;
    Server.beginStop();
    awaitIdle(OnIdle);
  });
}

void traffic_thread::awaitIdle(std::function<void()> OnIdle) {
  if (Server.idle())
    return OnIdle();
  IdleTimer.expires_after(TickInterval);
  IdleTimer.async_wait(
      [this, OnIdle = std::move(OnIdle)](boost::system::error_code Error) {
        if (!Error)
          awaitIdle(OnIdle);
      });
}

void traffic_thread::reportRestarts() {
  const auto Reports = Context.ConnectionLosses.takeConfirmedCrashes(
      *Context.View, std::chrono::steady_clock::now());
  for (const crash_report &Report : Reports)
    Context.Records->reportCrash(Report, {});
}

void traffic_thread::updateQuiescedIndex() {
  PublishedQuiescedIndex.store(
      Context.InFlightRequests.quiescedIndex(*Context.View,
                                             std::chrono::steady_clock::now()),
      std::memory_order_release);
}

void traffic_thread::publishLoads(steady_time Now) {
  if (Now < NextLoadsAt)
    return;
  NextLoadsAt = Now + LoadsInterval;
  Loads.store(std::make_shared<const load_report>(
                  load_report{Context.Sending.SlotRates.rates(Now),
                              Context.Sending.Statistics.unqueuedLatencies()}),
              std::memory_order_release);
}

//! Logs the changes of the subsets and updates their sizes in the metrics.
void traffic_thread::reportSubsets(steady_time Now) {
  if (Now < NextSubsetsAt)
    return;
  NextSubsetsAt = Now + SubsetsInterval;
  for (const subset_change &Change :
       Subsets.observe(*Context.View, Context.Sending, Now))
    component_logger("entry").event(log_level::Info, "subset_changed",
                                    {{"service", Change.Service},
                                     {"target", Change.Target},
                                     {"entered", Change.Entered},
                                     {"reason", nameOf(Change.Reason)}});
  const auto Sizes = Subsets.sizes();
  for (const auto &[Name, Service] : Context.View->Services) {
    const auto Found = Sizes.find(Name);
    if (!Service.Slots)
      Context.Metrics.setGauge(
          "pomelo_subset_targets", {{"service", Name}},
          Found == Sizes.end() ? 0 : static_cast<double>(Found->second));
  }
}

void traffic_thread::publishOutcomes(steady_time Now) {
  if (Context.Rollouts.outcomes().empty() || Now < NextOutcomesAt)
    return;
  NextOutcomesAt = Now + OutcomesInterval;
  Outcomes.store(
      std::make_shared<const outcomes_by_service>(Context.Rollouts.outcomes()),
      std::memory_order_release);
}

void traffic_thread::tick() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    updateQuiescedIndex();
    publishLoads(std::chrono::steady_clock::now());
    publishOutcomes(std::chrono::steady_clock::now());
    reportSubsets(std::chrono::steady_clock::now());
    tick();
  });
}

} // namespace pomelo
