#include "pomeloswitch/entry/entry_host.hpp"

#include "pomeloswitch/admission/quota_codec.hpp"
#include "pomeloswitch/entry/stop_schedule.hpp"
#include "pomeloswitch/rollout/outcome_codec.hpp"
#include "pomeloswitch/routing/routing_view.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto SpanInterval = std::chrono::milliseconds(500);
constexpr auto RecordsPollInterval = std::chrono::milliseconds(10);
constexpr auto RecordsTimeout = std::chrono::seconds(2);

void addSpeeds(const response_times &Times, wire::heartbeat &Heartbeat) {
  for (const auto &[TargetId, Seconds] : Times) {
    auto *Speed = Heartbeat.add_speeds();
    Speed->set_target_id(TargetId);
    Speed->set_seconds(static_cast<float>(Seconds));
  }
}

void addRate(const slot_rate &Rate, slot_rate &Sum) {
  Sum.PerSecond += Rate.PerSecond;
  Sum.LatestPerSecond += Rate.LatestPerSecond;
}

//! The threads share the link evenly: callers' connections are spread evenly.
link_pacer threadLink(const entry_settings &Settings) {
  constexpr double BytesPerMegabit = 1e6 / 8;
  return link_pacer(Settings.LinkMegabitsPerSecond * BytesPerMegabit /
                    Settings.TrafficThreads);
}

std::uint64_t currentIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace

entry_host::builder &entry_host::builder::withIo(asio::io_context &Value) {
  Io = &Value;
  return *this;
}

entry_host::builder &entry_host::builder::withSettings(entry_settings Value) {
  Settings = std::move(Value);
  return *this;
}

entry_host::builder &
entry_host::builder::withDialect(std::unique_ptr<const target_dialect> Value) {
  Dialect = std::move(Value);
  return *this;
}

entry_host::builder &entry_host::builder::withReadinessPath(std::string Value) {
  ReadinessPath = std::move(Value);
  return *this;
}

std::unique_ptr<entry_host> entry_host::builder::build() {
  if (!Io)
    throw pomelo_error(error_kind::BadSettings,
                       "an entry host needs an I/O context");
  return std::unique_ptr<entry_host>(new entry_host(
      *Io, std::move(Settings), std::move(Dialect), std::move(ReadinessPath)));
}

entry_host::entry_host(asio::io_context &Io, entry_settings GivenSettings,
                       std::unique_ptr<const target_dialect> GivenDialect,
                       std::string GivenReadinessPath)
    : Io(Io), Settings(std::move(GivenSettings)),
      Dialect(std::move(GivenDialect)),
      ReadinessPath(std::move(GivenReadinessPath)), Quota([this] {
        asio::post(this->Io, [this] { Session->requestTokens(); });
      }),
      Spans("pomelo-entry", Settings.HostId, Settings.TraceFile), SpanTimer(Io),
      StopTimer(Io) {
  const std::uint64_t Incarnation = currentIncarnation();
  Session = std::make_unique<control_session>(Io, Settings, Incarnation,
                                              makeCallbacks());
  Records = std::make_unique<replicated_records>(Io, *Session, Settings.HostId,
                                                 Incarnation);
  Announcements = std::make_unique<announce_api>(Io, *Session);
  Diagnostics = std::make_unique<diagnostics>(
      [this] { return describe(); },
      [this]() -> const cluster_state & { return Session->state(); });
  auto CallerAddress = parseEndpoint(Settings.CallerAddress);
  for (unsigned Number = 0; Number < Settings.TrafficThreads; ++Number) {
    Threads.push_back(std::make_unique<traffic_thread>(
        Quota, Settings.ClusterSecret, Settings.FailureDomain, *Dialect,
        Settings.Retries, threadLink(Settings), CallerAddress,
        caller_limits{Settings.MaxCallerConnections / Settings.TrafficThreads,
                      std::chrono::milliseconds(Settings.HeaderTimeoutMs)}));
    Threads.back()->useRecords(*Records);
    Threads.back()->useSpans(Spans);
    CallerAddress = Threads.front()->address();
  }
  for (const auto &Thread : Threads)
    Thread->useNotices(
        [this, Own = Thread.get()](const routing_target_ptr &Target,
                                   const target_notice &Notice) {
          for (const auto &Other : Threads)
            if (Other.get() != Own)
              Other->adoptNotice(Target, Notice);
        });
  if (!Settings.AnnounceAddress.empty())
    AnnounceServer = std::make_unique<simple_server>(
        Io, parseEndpoint(Settings.AnnounceAddress),
        [this](const text_request &Request) {
          return Announcements->handle(Request);
        });
  OpsServer = std::make_unique<simple_server>(
      Io, parseEndpoint(Settings.OpsAddress),
      [this](const text_request &Request) { return handleOps(Request); });
}

//! Each thread posts to the others, so all end before the first is destroyed.
entry_host::~entry_host() {
  for (const auto &Thread : Threads)
    Thread->join();
}

control_session::callbacks entry_host::makeCallbacks() {
  control_session::callbacks Callbacks;
  Callbacks.OnState = [this](const cluster_state &State) { onState(State); };
  Callbacks.OldestAdopted = [this] { return oldestAdoptedState(); };
  Callbacks.QuiescedIndex = [this] { return quiescedIndex(); };
  Callbacks.OnLease = [this](lease_time Until) {
    RoutingLease.extendTo(Until);
    for (const auto &Thread : Threads)
      Thread->extendAuthority(Until);
  };
  Callbacks.OnOutdated = [this] {
    for (const auto &Thread : Threads)
      Thread->endIsolation();
  };
  Callbacks.OnAck = [this](const wire::heartbeat_ack &Ack) {
    Announcements->onAck(Ack);
    adoptShares(Ack);
  };
  Callbacks.AddQuota = [this](wire::heartbeat &Heartbeat) {
    encode(Quota.report(steady_clock::now()), *Heartbeat.mutable_quota());
  };
  Callbacks.AddLoads = [this](wire::heartbeat &Heartbeat) {
    addLoads(Heartbeat);
    addOutcomes(Heartbeat);
  };
  Callbacks.OnQuota = [this](const wire::heartbeat_ack &Ack, lease_time Until) {
    if (Quota.apply(Ack.sequence(), decode(Ack.quota()), toSteady(Until),
                    steady_clock::now()))
      Session->sendHeartbeatSoon();
    wakeTokenWaiters();
  };
  Callbacks.AddTokenReport = [this](wire::quota_report &Report) {
    const auto Now = steady_clock::now();
    encode(Quota.tokenReport(Now), Report);
    if (Report.accounts().empty() && Quota.hasShortage(Now))
      Session->sendHeartbeatSoon();
  };
  Callbacks.OnTokens = [this](const wire::token_answer &Answer) {
    if (Quota.applyTokens(Answer.sequence(), decode(Answer.quota()),
                          steady_clock::now()))
      wakeTokenWaiters();
  };
  return Callbacks;
}

void entry_host::start() {
  for (const auto &Thread : Threads)
    Thread->start();
  Session->start();
  if (Spans.enabled())
    flushSpans();
  Log.info("Entry host {} serves callers on {}.", Settings.HostId,
           toString(Threads.front()->address()));
}

//! An answer that names no target ends what earlier ones said.
void entry_host::adoptShares(const wire::heartbeat_ack &Ack) {
  if (Ack.overloaded().empty() && !std::exchange(SharesInForce, false))
    return;
  SharesInForce = !Ack.overloaded().empty();
  owner_shares::share_map Shares;
  for (const wire::admitted_share &Each : Ack.overloaded())
    Shares[Each.target_id()] = Each.share();
  for (const auto &Thread : Threads)
    Thread->adoptShares(Shares);
}

void entry_host::wakeTokenWaiters() {
  for (const auto &Thread : Threads)
    Thread->wakeTokenWaiters();
}

void entry_host::onState(const cluster_state &State) {
  const auto View = makeRoutingView(State, Threads.size(), Settings.HostId);
  for (const auto &Thread : Threads)
    Thread->adoptView(View);
  Announcements->onState(State);
}

adopted_state entry_host::oldestAdoptedState() const {
  adopted_state Lowest{Session->state().index(),
                       Session->state().configVersion()};
  for (const auto &Thread : Threads) {
    const auto View = Thread->adoptedView();
    if (View->Index < Lowest.Index)
      Lowest = {View->Index, View->ConfigVersion};
  }
  return Lowest;
}

std::uint64_t entry_host::quiescedIndex() const {
  std::uint64_t Lowest = Session->state().index();
  for (const auto &Thread : Threads)
    Lowest = std::min(Lowest, Thread->quiescedIndex());
  return Lowest;
}

asio::awaitable<text_response>
entry_host::handleOps(const text_request &Request) {
  if (Request.target() == "/healthz")
    co_return makeJsonResponse(R"({"alive":true})", Request.version());
  if (Request.target() == ReadinessPath) {
    if (Stopping)
      throw pomelo_error(error_kind::Draining, "this entry host is stopping");
    if (!RoutingLease.valid())
      throw pomelo_error(
          error_kind::NotAuthoritative,
          "this entry host has no valid lease from the control group");
    co_return makeJsonResponse(R"({"ready":true})", Request.version());
  }
  if (Request.target() == "/rpc" && Request.method() == http::verb::post)
    co_return makeJsonResponse(Diagnostics->handle(Request.body()),
                               Request.version());
  if (Request.target() == "/metrics") {
    text_response Response = makeJsonResponse("", Request.version());
    Response.set(http::field::content_type, "text/plain; version=0.0.4");
    std::string Text = co_await metrics();
    Response.body() = std::move(Text);
    Response.prepare_payload();
    co_return Response;
  }
  throw pomelo_error(error_kind::NotFound, "no such endpoint");
}

asio::awaitable<std::string> entry_host::metrics() {
  metric_set Merged;
  for (const auto &Thread : Threads) {
    const metric_set ThreadMetrics = co_await Thread->metrics();
    Merged.merge(ThreadMetrics);
  }
  Merged.setGauge("pomelo_state_index", {},
                  static_cast<double>(Session->state().index()));
  const std::chrono::duration<double> LeaseLeft = RoutingLease.remaining();
  Merged.setGauge("pomelo_lease_seconds", {}, std::max(0.0, LeaseLeft.count()));
  Merged.setGauge("pomelo_spans_dropped", {},
                  static_cast<double>(Spans.dropped()));
  co_return Merged.text();
}

void entry_host::addLoads(wire::heartbeat &Heartbeat) {
  std::vector<std::shared_ptr<const traffic_thread::load_report>> Latest;
  for (const auto &Thread : Threads)
    Latest.push_back(Thread->loads());
  if (Latest == ReportedLoads)
    return;
  SpeedChanges.resize(Latest.size());
  // Threads may follow a division of the slots at different times.
  using numbering = std::pair<std::string, std::uint32_t>;
  std::map<numbering, std::map<std::uint32_t, slot_rate>> Sums;
  for (std::size_t Thread = 0; Thread < Latest.size(); ++Thread) {
    if (!Latest[Thread])
      continue;
    for (const auto &[Service, Rates] : Latest[Thread]->Rates)
      for (const slot_rate &Rate : Rates)
        addRate(Rate, Sums[{Service, Rate.SlotCount}][Rate.Slot]);
    addSpeeds(SpeedChanges[Thread].take(Latest[Thread]->ResponseSeconds),
              Heartbeat);
  }
  ReportedLoads = std::move(Latest);
  for (const auto &[Numbering, Rates] : Sums) {
    auto *Load = Heartbeat.add_loads();
    Load->set_service(Numbering.first);
    Load->set_slot_count(Numbering.second);
    for (const auto &[Slot, Rate] : Rates) {
      Load->add_slots(Slot);
      Load->add_per_second(Rate.PerSecond);
      Load->add_latest_per_second(Rate.LatestPerSecond);
    }
  }
}

//! Adds the counts of the roll-outs under way, of all threads together.
void entry_host::addOutcomes(wire::heartbeat &Heartbeat) const {
  outcomes_by_service Sums;
  for (const auto &Thread : Threads)
    if (const auto Latest = Thread->outcomes())
      for (const auto &[Service, Outcomes] : *Latest)
        Sums[Service] += Outcomes;
  encode(Sums, Heartbeat);
}

void entry_host::flushSpans() {
  Spans.flush();
  SpanTimer.expires_after(SpanInterval);
  SpanTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      flushSpans();
  });
}

void entry_host::reload(const entry_settings &Changed) {
  for (const host_address &Control : Changed.ControlHosts)
    Session->connectTo(Control);
}

void entry_host::beginStop() {
  if (Stopping)
    return;
  Stopping = true;
  Session->announceStopping();
  Log.info("Stopping; waiting for open requests to finish.");
  const stop_schedule Schedule = makeStopSchedule(Settings);
  const auto Signalled = steady_clock::now();
  EndsAt = Signalled + Schedule.ProcessEnds;
  for (const auto &Thread : Threads) {
    Thread->announceEnd(EndsAt);
    Thread->logOpenRequests("stop_began");
  }
  // Keep accepting for a while: new callers arrive until the load balancer has
  // read the readiness endpoint.
  StopTimer.expires_at(Signalled + Schedule.ListenerCloses);
  StopTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    BusyThreads = Threads.size();
    for (const auto &Thread : Threads) {
      Thread->logOpenRequests("listener_closed");
      Thread->beginStop([this] { asio::post(Io, [this] { onThreadIdle(); }); });
    }
    StopTimer.expires_at(EndsAt);
    StopTimer.async_wait([this](boost::system::error_code GraceError) {
      if (!GraceError)
        finishStop();
    });
  });
}

void entry_host::onThreadIdle() {
  if (--BusyThreads > 0)
    return;
  RecordsDeadline = std::min(steady_clock::now() + RecordsTimeout, EndsAt);
  awaitPendingRecords();
}

//! Waits, up to a timeout, until pending records such as claim ends are
//! committed to the replicated log.
void entry_host::awaitPendingRecords() {
  if (Records->idle() || steady_clock::now() >= RecordsDeadline)
    return finishStop();
  StopTimer.expires_after(RecordsPollInterval);
  StopTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      awaitPendingRecords();
  });
}

void entry_host::finishStop() {
  Spans.flush();
  Log.info("Stopped.");
  Session->stop();
  Io.stop();
}

std::string entry_host::describe() const {
  const boost::json::object Description{
      {"role", "entry"},
      {"host_id", Settings.HostId},
      {"failure_domain", Settings.FailureDomain},
      {"caller_address", toString(Threads.front()->address())},
      {"announce_address",
       AnnounceServer ? toString(AnnounceServer->address()) : std::string()},
      {"ops_address", toString(OpsServer->address())},
      {"index", Session->state().index()},
      {"version", Session->state().configVersion()},
      {"may_route", RoutingLease.valid()},
      {"stopping", Stopping}};
  return boost::json::serialize(Description);
}

} // namespace pomelo
