#include "pomeloswitch/http/exchange.hpp"

#include "pomeloswitch/http/account_admission.hpp"
#include "pomeloswitch/http/claim_exchange.hpp"
#include "pomeloswitch/http/input_observer.hpp"
#include "pomeloswitch/http/response_relay.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <sstream>
#include <string>
#include <utility>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

//! How long the rest of a request is read and discarded after its response.
//! Closing immediately would reset the connection, and the caller could lose
//! the response.
constexpr auto LingerTime = std::chrono::seconds(1);

auto redirect(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

[[noreturn]] void throwConnectionAborted() {
  throw boost::system::system_error(
      make_error_code(boost::system::errc::connection_aborted));
}

} // namespace

exchange::exchange(traffic_context &Context, beast::tcp_stream &Caller,
                   beast::flat_buffer &CallerBuffer,
                   request_stream_parser &Request)
    : Context(Context), Caller(Caller), Request(Request), View(Context.View),
      Open(Context.OpenRequests), Body(Caller, CallerBuffer, Request),
      Telemetry(Request.get()["traceparent"], Context.Sending.Random) {
  Open.onEnd([this] { endWithHost(); });
}

exchange::~exchange() {
  if (Complete || CallerDisconnected)
    return;
  if (!HostEnds || !answerAtOnce())
    logCut();
}

asio::awaitable<bool> exchange::run() {
  CallerKeepAlive = Request.get().keep_alive();
  std::optional<pomelo_error> Refusal;
  try {
    co_await serve();
  } catch (const pomelo_error &Failure) {
    Refusal = History.withEarlierSends(Failure);
  }
  PendingBody = {};
  if (Refusal)
    Telemetry.failed(Refusal->kind());
  Telemetry.close(Context.Metrics, Context.Spans);
  logOutcome(Refusal);
  if (!History.mightHaveRun())
    Claim.releaseClaim();
  if (CallerDisconnected)
    throwConnectionAborted();
  if (Refusal)
    co_await writeError(*Refusal);
  Complete = true;
  if (!Request.is_done())
    co_await lingeringClose();
  co_return CallerKeepAlive;
}

asio::awaitable<void> exchange::serve() {
  RequestId = Context.Dialect.requestIdOf(Request.get());
  Plan = planRequest();
  boundByStop();
  Telemetry.routed(Plan.Route.Name, Plan.Service, Plan.Account);
  if (!Context.RoutingLease.valid() && !mayPlanWithoutLease()) {
    co_await awaitLease();
    planAgain();
  }
  admitBodyToLink();
  if (Plan.RateLimited)
    co_await awaitAccountAdmission(Context, Plan.Account, Plan.Deadline);
  AdmittedAt = steady_clock::now();
  Context.Retries.earn(Plan.Service, View->EntryHosts);
  Open.enter(request_phase::Body);
  co_await continueIfExpected();
  co_await Body.readPrefix();
  if (HostEnds)
    throw pomelo_error(error_kind::Draining, HostStops);
  rejectPoisonRequest();
  bool Answered = false;
  observeCaller();
  if (Plan.ClaimKeyHash)
    Answered = co_await claimOrReplay();
  while (!Answered)
    Answered = co_await attempt();
}

asio::awaitable<void> exchange::continueIfExpected() {
  if (!http::token_list{Request.get()[http::field::expect]}.exists(
          "100-continue"))
    co_return;
  http::response<http::empty_body> Continue(http::status::continue_, 11);
  Caller.expires_after(CallerProgressTimeout);
  co_await http::async_write(Caller, Continue, asio::use_awaitable);
}

//! Claims the request's Idempotency-Key. Returns true if the request has been
//! answered with the recorded response to an earlier request.
asio::awaitable<bool> exchange::claimOrReplay() {
  claim_request NewClaim;
  NewClaim.Account = Plan.Account;
  NewClaim.KeyHash = *Plan.ClaimKeyHash;
  NewClaim.Fingerprint = fingerprint();
  NewClaim.DeadlineUnixMs = Plan.DeadlineUnixMs;
  const claim_reply Reply = co_await awaitClaim(
      *Context.Records, Context.Io.get_executor(), NewClaim);
  if (Reply.Verdict == claim_verdict::Granted) {
    Claim = claim_guard(*Context.Records, std::move(NewClaim), Reply.Number);
    co_return false;
  }
  co_await writeResponse(responseFromClaim(Reply, Request.get().version()));
  co_return true;
}

//! Makes one attempt; returns whether the request has been answered.
asio::awaitable<bool> exchange::attempt() {
  LastFailure = attempt_failure::None;
  LastProgress = attempt_progress::NothingSent;
  const unsigned SendsBefore = History.sendCount();
  std::optional<pomelo_error> Failure;
  in_flight_table::in_flight_request InFlight;
  slot_owner Owner;
  try {
    Open.enter(request_phase::Target);
    Owner = co_await awaitTarget();
    if (!History.maySendTo(Owner.Target->Member.TargetId,
                           Plan.Route.MaxTargets))
      throw pomelo_error(error_kind::NoTarget,
                         "the request was already sent to as many targets as "
                         "its route allows");
    const connection_requirement Requirement =
        Plan.Route.Idempotent ? connection_requirement::Any
                              : connection_requirement::RecentlyActive;
    Open.enter(request_phase::Connection);
    auto Connection = co_await connect(*Owner.Target, Requirement);
    co_await dispatch(Owner, Connection, InFlight);
    InFlight.markSettled();
    co_return true;
  } catch (const pomelo_error &Caught) {
    Failure = Caught;
  }
  if (History.sendCount() == SendsBefore)
    History.recordUnsent();
  if (LastProgress == attempt_progress::NothingSent)
    InFlight.markSettled();
  if (CallerDisconnected)
    throwConnectionAborted();
  if (HostEnds)
    throw pomelo_error(error_kind::Draining, HostStops);
  if (LastFailure == attempt_failure::ConnectionLost)
    co_await handleConnectionLoss(Owner.Target);
  if (!mayRetry(Failure->kind()))
    throw pomelo_error(*Failure);
  co_return false;
}

asio::awaitable<pooled_connection>
exchange::connect(const routing_target &Target,
                  connection_requirement Requirement) {
  try {
    co_return co_await Context.Pool.acquire(Target, Requirement, Plan.Deadline);
  } catch (const pomelo_error &Failure) {
    if (Failure.kind() == error_kind::UpstreamFailed)
      Context.Sending.Statistics.recordUnreachable(Target, steady_clock::now());
    throw;
  }
}

asio::awaitable<void>
exchange::dispatch(const slot_owner &Owner, pooled_connection &Connection,
                   in_flight_table::in_flight_request &InFlight) {
  boundByStop();
  noticeCallerGone();
  checkCallerConnected();
  if (Plan.Key)
    InFlight = in_flight_table::in_flight_request(
        Context.InFlightRequests, Plan.Service, Owner.Slot, Owner.Token,
        {!Owner.Target->Member.ChecksFence, Plan.Deadline});
  const request_header Header = dispatchHeader(Owner);
  checkDispatchAllowed(Owner);
  Telemetry.dispatched(Owner.Target->Member.TargetId);
  target_dispatch Dispatch(*Connection, Body, Context.Dialect, RequestId,
                           Context.Sending.Link, PendingBody);
  struct attempt_recorder {
    attempt_recorder(exchange &Exchange, const slot_owner &Owner,
                     target_dispatch &Dispatch)
        : Exchange(Exchange), Owner(Owner), Dispatch(Dispatch),
          SentAt(steady_clock::now()) {
      Exchange.History.recordSend(Owner.Target->Member.TargetId);
      Exchange.Context.Sending.Statistics.recordSend(*Owner.Target, SentAt);
    }
    ~attempt_recorder() { Exchange.recordAttempt(Owner, Dispatch, SentAt); }
    attempt_recorder(const attempt_recorder &) = delete;
    attempt_recorder &operator=(const attempt_recorder &) = delete;
    exchange &Exchange;
    const slot_owner &Owner;
    target_dispatch &Dispatch;
    steady_clock::time_point SentAt;
  } AttemptRecorder(*this, Owner, Dispatch);
  struct target_release {
    exchange &Exchange;
    target_release(exchange &Exchange, pooled_connection &Connection)
        : Exchange(Exchange) {
      Exchange.GiveUpTarget = [&Connection] { Connection->Stream.close(); };
    }
    ~target_release() { Exchange.GiveUpTarget = nullptr; }
    target_release(const target_release &) = delete;
    target_release &operator=(const target_release &) = delete;
  } const TargetRelease(*this, Connection);
  Open.enter(request_phase::Sending);
  co_await Dispatch.send(Header, Request.longValues(), Plan.Route.MaxBodyBytes,
                         Plan.Deadline);
  Open.enter(request_phase::Response);
  observeCaller();
  if (CallerDisconnected && !Claim.ownsClaim())
    throwConnectionAborted();
  co_await Dispatch.readResponseHeader(Plan.Deadline);
  recordNotice(Owner, Dispatch);
  if (const auto &Load = Dispatch.metadata().Load)
    Context.Sending.Statistics.recordLoad(*Owner.Target, *Load,
                                          steady_clock::now());
  Telemetry.answered(Context.Metrics);
  co_await relayResponse(Connection, Dispatch);
}

//! Detects that the caller disconnects while its request is served. Starts only
//! after the complete request was read; any further bytes belong to the next
//! request. A claimed request is completed nevertheless, since its caller is
//! expected to retry and to receive the recorded response.
void exchange::observeCaller() {
  if (CallerObserver || !Request.is_done())
    return;
  CallerObserver.emplace(Caller.socket(), [this](input_state State) {
    CallerDisconnected = State == input_state::Ended;
    if (CallerDisconnected && GiveUpTarget && !Claim.ownsClaim())
      GiveUpTarget();
  });
}

//! Looks at the connection itself: its observer may not have run since the
//! caller left, or began only after the request had waited.
void exchange::noticeCallerGone() {
  if (Request.is_done() && peekInput(Caller.socket()) == input_state::Ended)
    CallerDisconnected = true;
}

void exchange::checkCallerConnected() const {
  if (CallerDisconnected && !Claim.ownsClaim())
    throwConnectionAborted();
}

//! Waits until a target is available for the request.
asio::awaitable<slot_owner> exchange::awaitTarget() {
  std::optional<slot_owner> Owner;
  while (!Owner)
    Owner = co_await awaitPlannedTarget();
  TriedTargets.push_back(Owner->Target->Member.TargetId);
  co_return *Owner;
}

//! Returns nothing if the request was planned again.
asio::awaitable<std::optional<slot_owner>> exchange::awaitPlannedTarget() {
  asio::steady_timer Timer(Context.Io);
  target_selection TargetWait(Context.Sending, makePendingRequest(),
                              steady_clock::now());
  for (;;) {
    checkCallerConnected();
    boundByStop();
    if (followConfiguration())
      co_return std::nullopt;
    const auto Now = steady_clock::now();
    const auto Owner =
        TargetWait.decide(*View, Context.RoutingLease.valid(), Now);
    Slot = TargetWait.slot();
    if (Owner)
      co_return Owner;
    Timer.expires_after(target_selection::PollInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

pending_request exchange::makePendingRequest() const {
  pending_request Pending;
  Pending.Service = Plan.Service;
  Pending.Key = Plan.Key;
  Pending.Priority = Plan.Priority;
  Pending.Deadline = Plan.Deadline;
  Pending.LatencyGoal = milliseconds(Plan.Route.LatencyGoalMs);
  Pending.BodyBytes = Body.length().value_or(0);
  Pending.ExcludedTargets = TriedTargets;
  return Pending;
}

//! The last check before the first byte is sent: a process that was paused must
//! not send under an expired lease.
void exchange::checkDispatchAllowed(const slot_owner &Owner) const {
  const auto Now = steady_clock::now();
  if (Now >= Plan.Deadline)
    throw pomelo_error(error_kind::DeadlineExceeded,
                       "the deadline passed before the request was sent");
  if (!Context.RoutingLease.valid() && !mayPlanWithoutLease())
    throw pomelo_error(error_kind::NotAuthoritative, LostContact);
  // The configuration may have changed while this request waited for its body
  // or for a connection. The next attempt follows it.
  if (!Plan.madeBy(*Context.View))
    throw pomelo_error(error_kind::UpstreamFailed,
                       "the configuration changed before the request was sent");
  // The routing view that selected the target may have been replaced while this
  // request waited for a connection.
  if (!mayStillSend(*Context.View, Plan.Service, Owner))
    throw pomelo_error(error_kind::UpstreamFailed,
                       "the target no longer owns the key or accepts requests");
  if (!Context.Sending.Notices.of(*Owner.Target).wantsRequests(Now))
    throw pomelo_error(error_kind::UpstreamFailed,
                       "the target has said that it wants no requests now");
  // A restarted process at the same address may accept requests before its new
  // incarnation is announced. A connection lost by it must not be attributed to
  // the previous incarnation.
  const auto &Crashes = Context.View->Crashes;
  const target_member &Member = Owner.Target->Member;
  if (Crashes && Crashes->hasCrashed(Member.TargetId, Member.Incarnation))
    throw pomelo_error(error_kind::UpstreamFailed, "the target has crashed");
}

request_header exchange::dispatchHeader(const slot_owner &Owner) {
  dispatch_metadata Metadata;
  Metadata.Account = Plan.Account;
  if (Plan.Key) {
    Telemetry.slotResolved(Owner.Slot);
    Metadata.Slot = Owner.Slot;
    Metadata.Token = Owner.Token;
  }
  Metadata.DeadlineUnixMs = Plan.DeadlineUnixMs;
  Metadata.TimeLeft = std::chrono::duration_cast<milliseconds>(
      Plan.Deadline - steady_clock::now());
  Metadata.TargetId = Owner.Target->Member.TargetId;
  Metadata.RequestId = RequestId;
  Metadata.TraceParent = Telemetry.traceParentForTarget();
  return Context.Dialect.headerForTarget(Request.get(), Metadata);
}

//! Decides on a retry. Once the request was sent to a target, each retry spends
//! from the service's retry budget.
bool exchange::mayRetry(error_kind Kind) {
  const retry_policy Terms{Plan.Route.MaxTargets, Plan.Route.Idempotent,
                           Plan.Key.has_value()};
  if (Body.partlyRelayed() || steady_clock::now() >= Plan.Deadline ||
      !History.mayRetry(Kind, Terms))
    return false;
  return History.sendCount() == 0 ||
         Context.Retries.spend(Plan.Service, View->EntryHosts);
}

asio::awaitable<void> exchange::relayResponse(pooled_connection &Connection,
                                              target_dispatch &Dispatch) {
  Open.enter(request_phase::Relaying);
  CallerKeepAlive = CallerKeepAlive && Request.is_done() && !Context.Stopping;
  response_relay Relay(Caller, *Connection, Dispatch.response(),
                       Context.Dialect, Context.Sending.Link, Plan.Deadline);
  if (Claim.ownsClaim())
    Relay.enableCopy();
  co_await Relay.run(CallerKeepAlive);
  if (Claim.ownsClaim())
    Claim.answered(*Relay.takeCopy());
  CallerDisconnected = CallerDisconnected || Relay.callerDisconnected();
  clearSuspicion();
  if (Dispatch.reusable())
    Connection.returnToPool();
}

asio::awaitable<void> exchange::writeError(const pomelo_error &Refusal) {
  co_await writeResponse(
      Context.Dialect.errorResponse(Refusal, Request.get().version()));
}

//! Answers a request whose wait did not end with its host: the loop that would
//! resume it has stopped. Returns whether the caller's socket took the answer.
bool exchange::answerAtOnce() {
  if (answerBegun())
    return false;
  const pomelo_error Refusal =
      History.withEarlierSends(pomelo_error(error_kind::Draining, HostStops));
  auto Response =
      Context.Dialect.errorResponse(Refusal, Request.get().version());
  Response.keep_alive(false);
  std::ostringstream Bytes;
  Bytes << Response;
  error_code Error;
  Caller.socket().non_blocking(true, Error);
  const std::string Text = Bytes.str();
  return asio::write(Caller.socket(), asio::buffer(Text), Error) == Text.size();
}

asio::awaitable<void> exchange::writeResponse(text_response Response) {
  Open.enter(request_phase::Answering);
  CallerKeepAlive = CallerKeepAlive && Request.is_done() && !Context.EndsAt;
  Response.keep_alive(CallerKeepAlive);
  Caller.expires_after(CallerProgressTimeout);
  if (Request.get().method() != http::verb::head) {
    co_await http::async_write(Caller, Response, asio::use_awaitable);
    co_return;
  }
  http::response_serializer<http::string_body> Serializer(Response);
  co_await http::async_write_header(Caller, Serializer, asio::use_awaitable);
}

asio::awaitable<void> exchange::lingeringClose() {
  error_code Error;
  Caller.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Error);
  Caller.expires_after(LingerTime);
  std::vector<char> Discarded(RelayChunkBytes);
  while (!Error)
    co_await Caller.async_read_some(asio::buffer(Discarded), redirect(Error));
}

} // namespace pomelo
