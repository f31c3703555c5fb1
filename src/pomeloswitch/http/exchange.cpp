#include "pomeloswitch/http/exchange.hpp"

#include "pomeloswitch/http/account_admission.hpp"
#include "pomeloswitch/http/answer_relay.hpp"
#include "pomeloswitch/http/claim_exchange.hpp"
#include "pomeloswitch/http/crash_check.hpp"
#include "pomeloswitch/http/readable_watch.hpp"
#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/routing/authentication.hpp"
#include "pomeloswitch/state/key_slot.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto LeasePollInterval = milliseconds(10);
//! How long a caller that still sends is listened to after its answer; closing
//! at once would reset the connection and take the answer away from it.
constexpr auto LingerTime = std::chrono::seconds(1);
//! A new leader grants leases anew within this time.
constexpr auto MaxLeaseWait = milliseconds(500);

auto redirect(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

const part_log &requestLog() {
  static const part_log Log("entry.request");
  return Log;
}

//! One in this many requests that went as usual is logged.
constexpr std::uint64_t UsualSample = 16;

bool sampled(std::string_view RequestId) {
  return stableHash(RequestId) % UsualSample == 0;
}

std::int64_t millisecondsOf(steady_clock::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

std::string_view nameOf(send_outcome End) {
  switch (End) {
  case send_outcome::Answered:
    return "answered";
  case send_outcome::Shed:
    return "shed";
  case send_outcome::Failed:
    return "failed";
  case send_outcome::Lost:
    return "connection_lost";
  case send_outcome::Silent:
    return "silent";
  case send_outcome::Inconclusive:
    break;
  }
  return "undecided";
}

//! What the attempt tells about its target.
send_outcome sendEndOf(const target_dispatch &Dispatch, bool CallerGone) {
  if (CallerGone)
    return send_outcome::Inconclusive;
  if (Dispatch.facts().WrongTarget)
    return send_outcome::Inconclusive;
  if (Dispatch.facts().NotRun)
    return send_outcome::Shed;
  switch (Dispatch.ending()) {
  case attempt_break::ConnectionLost:
    return send_outcome::Lost;
  case attempt_break::Silent:
    return send_outcome::Silent;
  case attempt_break::Misbehaved:
    return send_outcome::Failed;
  case attempt_break::None:
    break;
  }
  if (Dispatch.progress() != attempt_progress::Answered)
    return send_outcome::Inconclusive;
  return Dispatch.answeredFailure() ? send_outcome::Failed
                                    : send_outcome::Answered;
}

[[noreturn]] void closeCaller() {
  throw boost::system::system_error(
      make_error_code(boost::system::errc::connection_aborted));
}

} // namespace

exchange::exchange(traffic_context &Context, beast::tcp_stream &Caller,
                   beast::flat_buffer &CallerBuffer,
                   request_stream_parser &Request)
    : Context(Context), Caller(Caller), Request(Request), View(Context.View),
      Body(Caller, CallerBuffer, Request),
      Record(Request.get()["traceparent"], Context.Sending.Random) {}

asio::awaitable<bool> exchange::run() {
  CallerKeepAlive = Request.get().keep_alive();
  std::optional<pomelo_error> Refusal;
  try {
    co_await serve();
  } catch (const pomelo_error &Failure) {
    Refusal = History.withEarlierSends(Failure);
  }
  if (Refusal)
    Record.failed(Refusal->kind());
  Record.close(Context.Metrics, Context.Spans);
  logOutcome(Refusal);
  if (!History.mightHaveRun())
    Claim.releaseClaim();
  if (CallerGone)
    closeCaller();
  if (Refusal)
    co_await writeError(*Refusal);
  if (!Request.is_done())
    co_await lingerForCaller();
  co_return CallerKeepAlive;
}

//! One line tells what became of the request and by which state; those that
//! went as usual are sampled by the caller's id, alike on every host.
void exchange::logOutcome(const std::optional<pomelo_error> &Refusal) const {
  const bool Usual = !Refusal && !CallerGone && History.sendCount() <= 1;
  if (Usual && !sampled(RequestId))
    return;
  const auto Now = steady_clock::now();
  boost::json::object Fields{
      {"request", RequestId},
      {"route", Plan.Route.Name},
      {"service", Plan.Service},
      {"account", Plan.Account},
      {"config", View->ConfigNumber},
      {"index", View->Index},
      {"lease_left_ms", millisecondsOf(Context.Authority.left())},
      {"took_ms", millisecondsOf(Now - Began)},
      {"attempts", Tries}};
  if (Slot)
    Fields["slot"] = *Slot;
  if (CallerGone)
    Fields["caller"] = "gone";
  if (Refusal) {
    Fields["error"] = answerFor(Refusal->kind()).Name;
    Fields["reason"] = Refusal->what();
    Fields["retry_after_ms"] = Refusal->retryAfter().count();
  }
  requestLog().event(Refusal ? log_level::Warn : log_level::Info,
                     Refusal ? "request_failed" : "request_served", Fields);
}

asio::awaitable<void> exchange::serve() {
  RequestId = Context.Dialect.requestIdOf(Request.get());
  Plan = makeRequestPlan(Request, Context);
  Record.routed(Plan.Route.Name, Plan.Service, Plan.Account);
  if (Plan.Route.Access == route_access::Account) {
    co_await awaitLease();
    if (Plan.RateLimited)
      co_await admitToAccount(Context, Plan.Account, Plan.Deadline);
  }
  Context.Retries.earn(Plan.Service, View->EntryHosts);
  co_await continueIfExpected();
  co_await Body.readHead();
  refusePoison();
  bool Answered = false;
  watchCaller();
  if (Plan.ClaimKeyHash)
    Answered = co_await answeredByClaim();
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

std::string exchange::fingerprint() const {
  return fingerprintOf({Plan.Account, Request.get().method_string(),
                        Request.get().target(), Body.head(), Body.length()});
}

void exchange::refusePoison() const {
  const auto &Crashes = Context.View->Crashes;
  if (!Crashes || Crashes->size() == 0)
    return;
  if (Crashes->isPoison(fingerprint(), Context.View->TimeMs))
    throw pomelo_error(error_kind::PoisonRequest,
                       "the same request was running when two targets crashed");
}

//! Claims the request. Returns true if an earlier sending's answer was given.
asio::awaitable<bool> exchange::answeredByClaim() {
  claim_request Asked;
  Asked.Account = Plan.Account;
  Asked.KeyHash = *Plan.ClaimKeyHash;
  Asked.Fingerprint = fingerprint();
  Asked.DeadlineUnixMs = Plan.DeadlineUnixMs;
  const claim_reply Reply =
      co_await awaitClaim(*Context.Records, Context.Io.get_executor(), Asked);
  if (Reply.Verdict == claim_verdict::Granted) {
    Claim = claim_guard(*Context.Records, std::move(Asked), Reply.Number);
    co_return false;
  }
  co_await writeWhole(answerFromClaim(Reply, Request.get().version()));
  co_return true;
}

//! Makes one attempt; returns whether the request has been answered.
asio::awaitable<bool> exchange::attempt() {
  LastBreak = attempt_break::None;
  LastProgress = attempt_progress::NothingSent;
  const unsigned SendsBefore = History.sendCount();
  std::optional<pomelo_error> Failure;
  flight_table::flight Flight;
  slot_owner Owner;
  try {
    Owner = co_await awaitTarget();
    if (!History.maySendTo(Owner.Target->Member.TargetId,
                           Plan.Route.MaxTargets))
      throw pomelo_error(error_kind::NoTarget,
                         "the key has passed on to one target too many");
    const connection_need Need =
        Plan.Route.Idempotent ? connection_need::Any : connection_need::Proven;
    auto Connection = co_await connect(*Owner.Target, Need);
    co_await dispatch(Owner, Connection, Flight);
    Flight.settled();
    co_return true;
  } catch (const pomelo_error &Caught) {
    Failure = Caught;
  }
  if (History.sendCount() == SendsBefore)
    History.recordUnsent();
  if (LastProgress == attempt_progress::NothingSent)
    Flight.settled();
  if (CallerGone)
    closeCaller();
  if (LastBreak == attempt_break::ConnectionLost)
    co_await investigate(Owner.Target);
  if (!mayRetry(Failure->kind()))
    throw pomelo_error(*Failure);
  co_return false;
}

asio::awaitable<upstream_loan> exchange::connect(const routing_target &Target,
                                                 connection_need Need) {
  try {
    co_return co_await Context.Pool.acquire(Target, Need, Plan.Deadline);
  } catch (const pomelo_error &Failure) {
    if (Failure.kind() == error_kind::UpstreamFailed)
      Context.Sending.Statistics.recordUnreachable(Target, steady_clock::now());
    throw;
  }
}

asio::awaitable<void> exchange::dispatch(const slot_owner &Owner,
                                         upstream_loan &Connection,
                                         flight_table::flight &Flight) {
  if (Plan.Key)
    Flight = flight_table::flight(
        Context.Flights, Plan.Service, Owner.Slot, Owner.Token,
        {!Owner.Target->Member.ChecksFence, Plan.Deadline});
  const request_header Header = dispatchHeader(Owner);
  checkMayDispatch(Owner);
  Record.dispatched(Owner.Target->Member.TargetId);
  target_dispatch Dispatch(*Connection, Body, Context.Dialect, RequestId);
  struct noted_attempt {
    noted_attempt(exchange &Exchange, const slot_owner &Owner,
                  target_dispatch &Dispatch)
        : Exchange(Exchange), Owner(Owner), Dispatch(Dispatch),
          SentAt(steady_clock::now()) {
      Exchange.History.recordSend(Owner.Target->Member.TargetId);
      Exchange.Context.Sending.Statistics.recordSend(*Owner.Target, SentAt);
    }
    ~noted_attempt() { Exchange.noteAttempt(Owner, Dispatch, SentAt); }
    noted_attempt(const noted_attempt &) = delete;
    noted_attempt &operator=(const noted_attempt &) = delete;
    exchange &Exchange;
    const slot_owner &Owner;
    target_dispatch &Dispatch;
    steady_clock::time_point SentAt;
  } Noted(*this, Owner, Dispatch);
  co_await Dispatch.send(Header, Plan.Route.MaxBodyBytes, Plan.Deadline);
  watchCaller();
  // A caller that goes away frees the target. A claimed request runs on to its
  // end instead, since its caller is expected back for the answer.
  struct end_with_caller {
    exchange &Exchange;
    end_with_caller(exchange &Exchange, upstream_loan &Connection)
        : Exchange(Exchange) {
      Exchange.OnCallerGone = [&Exchange, &Connection] {
        if (!Exchange.Claim.ownsClaim())
          Connection->Stream.close();
      };
    }
    ~end_with_caller() { Exchange.OnCallerGone = nullptr; }
    end_with_caller(const end_with_caller &) = delete;
    end_with_caller &operator=(const end_with_caller &) = delete;
  } const EndWithCaller(*this, Connection);
  if (CallerGone && !Claim.ownsClaim())
    closeCaller();
  co_await Dispatch.readAnswer(Plan.Deadline);
  if (const auto &Load = Dispatch.facts().Load)
    Context.Sending.Statistics.recordLoad(*Owner.Target, *Load,
                                          steady_clock::now());
  Record.answered(Context.Metrics);
  co_await relayAnswer(Connection, Dispatch);
}

//! Looks for the end of the caller's connection while its request is served.
//! Bytes that follow a whole request are the next one's.
void exchange::watchCaller() {
  if (CallerWatch || !Request.is_done())
    return;
  CallerWatch.emplace(Caller.socket(), [this](input_state State) {
    CallerGone = State == input_state::Ended;
    if (CallerGone && OnCallerGone)
      OnCallerGone();
  });
}

void exchange::noteAttempt(const slot_owner &Owner,
                           const target_dispatch &Dispatch,
                           steady_clock::time_point SentAt) {
  LastProgress = Dispatch.progress();
  LastBreak = Dispatch.ending();
  History.recordOutcome(LastProgress != attempt_progress::NothingSent,
                        LastBreak == attempt_break::ConnectionLost &&
                            !CallerGone);
  const auto Now = steady_clock::now();
  const send_outcome End = sendEndOf(Dispatch, CallerGone);
  Context.Sending.Statistics.recordOutcome(*Owner.Target, End, Now - SentAt,
                                           Now);
  boost::json::object Try{{"target", Owner.Target->Member.TargetId},
                          {"sent_ms", millisecondsOf(SentAt - Began)},
                          {"took_ms", millisecondsOf(Now - SentAt)},
                          {"end", nameOf(End)}};
  if (Plan.Key) {
    Try["slot"] = Owner.Slot;
    Try["token"] = Owner.Token;
  }
  Tries.push_back(std::move(Try));
}

//! Bridges a change of leader. The account's rate is leased too, so that
//! without this a host that is cut off would blame the account for it.
asio::awaitable<void> exchange::awaitLease() {
  asio::steady_timer Timer(Context.Io);
  const auto GiveUp =
      std::min(Plan.Deadline, steady_clock::now() + MaxLeaseWait);
  while (!Context.Authority.valid()) {
    if (steady_clock::now() >= GiveUp)
      throw pomelo_error(error_kind::NotAuthoritative, LostContact);
    Timer.expires_after(LeasePollInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void exchange::checkCallerWaits() const {
  if (CallerGone && !Claim.ownsClaim())
    closeCaller();
}

//! Waits until there is a target for the request.
asio::awaitable<slot_owner> exchange::awaitTarget() {
  asio::steady_timer Timer(Context.Io);
  target_selection Wait(Context.Sending, sendWish(), steady_clock::now());
  for (;;) {
    checkCallerWaits();
    View = Context.View;
    const auto Now = steady_clock::now();
    const auto Owner = Wait.decide(*View, Context.Authority.valid(), Now);
    Slot = Wait.slot();
    if (Owner) {
      TriedTargets.push_back(Owner->Target->Member.TargetId);
      co_return *Owner;
    }
    Timer.expires_after(target_selection::PollInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

pending_request exchange::sendWish() const {
  pending_request Request;
  Request.Service = Plan.Service;
  Request.Key = Plan.Key;
  Request.Priority = Plan.Priority;
  Request.Deadline = Plan.Deadline;
  Request.LatencyObjective = milliseconds(Plan.Route.AimMs);
  Request.BodyBytes = Body.length().value_or(0);
  Request.ExcludedTargets = TriedTargets;
  return Request;
}

//! The last check before the first byte goes out: a process that was paused
//! must not send under a right that has run out.
void exchange::checkMayDispatch(const slot_owner &Owner) const {
  const auto Now = steady_clock::now();
  if (Now >= Plan.Deadline)
    throw pomelo_error(error_kind::DeadlineExceeded,
                       "the deadline passed before the request was sent");
  const bool Open = Plan.Route.Access == route_access::Open;
  auto Left = Context.Authority.left();
  if (Open && !Plan.Key)
    Left += milliseconds(View->Rules->OpenIsolationMs);
  if (Left.count() <= 0)
    throw pomelo_error(error_kind::NotAuthoritative, LostContact);
  // The key may have been withdrawn while the body or a connection was
  // awaited.
  if (!Open && Context.View->Keys != Plan.Keys)
    authenticate(*Context.View->Keys, Context.ClusterSecret,
                 Request.get()[http::field::authorization]);
  // Waiting for a connection may have outlived the view that named the
  // target.
  if (!mayStillSend(*Context.View, Plan.Service, Owner))
    throw pomelo_error(error_kind::UpstreamFailed,
                       "the target gave up this work before it was sent");
  // A process that was started again at the same address answers there before
  // its new incarnation is announced; what it loses must count as another.
  const auto &Crashes = Context.View->Crashes;
  const target_member &Member = Owner.Target->Member;
  if (Crashes && Crashes->hasCrashed(Member.TargetId, Member.Incarnation))
    throw pomelo_error(error_kind::UpstreamFailed, "the target has crashed");
}

request_header exchange::dispatchHeader(const slot_owner &Owner) {
  dispatch_facts Facts;
  Facts.Account = Plan.Account;
  if (Plan.Key) {
    Record.slotFound(Owner.Slot);
    Facts.Slot = Owner.Slot;
    Facts.Token = Owner.Token;
  }
  Facts.DeadlineUnixMs = Plan.DeadlineUnixMs;
  Facts.TimeLeft = std::chrono::duration_cast<milliseconds>(
      Plan.Deadline - steady_clock::now());
  Facts.TargetId = Owner.Target->Member.TargetId;
  Facts.RequestId = RequestId;
  Facts.TraceParent = Record.traceParentForTarget();
  return Context.Dialect.headerForTarget(Request.get(), Facts);
}

//! A target that ended its connection without an answer may have crashed over
//! the request; if so, the fleet is told before the request goes anywhere
//! else.
asio::awaitable<void> exchange::investigate(routing_target_ptr Target) {
  const crash_report Report{fingerprint(), Target->Member.TargetId,
                            Target->Member.Incarnation};
  // A target that tells when it was started shows by a later start that it
  // has crashed; a refusal alone may come from something on the way.
  const bool ToldByStart = Target->Member.StartedMs > 0;
  const bool Refuses =
      !ToldByStart && co_await refusesConnections(Target->Address);
  if (!Refuses) {
    Context.Breaks.add(Report, steady_clock::now());
    co_return;
  }
  co_await awaitCrashReport(*Context.Records, Context.Io.get_executor(),
                            Report);
}

//! A second send to a target that is reached draws on the fleet's budget.
bool exchange::mayRetry(error_kind Kind) {
  const retry_policy Terms{Plan.Route.MaxTargets, Plan.Route.Idempotent,
                           Plan.Key.has_value()};
  if (Body.consumed() || steady_clock::now() >= Plan.Deadline ||
      !History.mayRetry(Kind, Terms))
    return false;
  return History.sendCount() == 0 ||
         Context.Retries.spend(Plan.Service, View->EntryHosts);
}

asio::awaitable<void> exchange::relayAnswer(upstream_loan &Connection,
                                            target_dispatch &Dispatch) {
  CallerKeepAlive = CallerKeepAlive && Request.is_done() && !Context.Stopping;
  Connection->Stream.expires_at(Plan.Deadline);
  answer_relay Relay(Caller, *Connection, Dispatch.answer(), Context.Dialect);
  if (Claim.ownsClaim())
    Relay.keepCopy();
  co_await Relay.run(CallerKeepAlive);
  if (Claim.ownsClaim())
    Claim.answered(*Relay.takeCopy());
  CallerGone = CallerGone || Relay.callerLost();
  const auto &Crashes = Context.View->Crashes;
  if (Crashes && Crashes->size() > 0) {
    const std::string Fingerprint = fingerprint();
    if (Crashes->isSuspect(Fingerprint))
      Context.Records->clearSuspect(Fingerprint);
  }
  if (Dispatch.reusable())
    Connection.keep();
}

asio::awaitable<void> exchange::writeError(const pomelo_error &Refusal) {
  co_await writeWhole(
      Context.Dialect.refusal(Refusal, Request.get().version()));
}

asio::awaitable<void> exchange::writeWhole(text_response Response) {
  CallerKeepAlive = CallerKeepAlive && Request.is_done() && !Context.Stopping;
  Response.keep_alive(CallerKeepAlive);
  Caller.expires_after(CallerProgressTimeout);
  if (Request.get().method() != http::verb::head) {
    co_await http::async_write(Caller, Response, asio::use_awaitable);
    co_return;
  }
  http::response_serializer<http::string_body> Serializer(Response);
  co_await http::async_write_header(Caller, Serializer, asio::use_awaitable);
}

asio::awaitable<void> exchange::lingerForCaller() {
  error_code Error;
  Caller.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Error);
  Caller.expires_after(LingerTime);
  std::vector<char> Discarded(RelayChunkBytes);
  while (!Error)
    co_await Caller.async_read_some(asio::buffer(Discarded), redirect(Error));
}

} // namespace pomelo
