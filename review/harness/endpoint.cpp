#include "endpoint.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace pomelo::review {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

//! The sheets say that a new connection takes an endpoint 1 ms, and a message
//! up to 1.4 ms between zones.
constexpr std::chrono::microseconds ConnectionCost{2400};
constexpr milliseconds IdleTimeout{10000};
constexpr milliseconds ReportTimeout{4000};
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int WrongInstance = 421;
constexpr int WorkFailed = 500;
constexpr int Unavailable = 503;
constexpr int OutOfTime = 504;

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string notExecuted(int Status, const std::string &RequestId) {
  header_map Fields{{"X-Not-Executed", "1"}};
  if (!RequestId.empty())
    Fields["X-Request-Id"] = RequestId;
  return responseText(Status, Fields, "");
}

std::string keysText(std::uint32_t From, std::uint32_t To, std::int64_t Fence) {
  return std::to_string(From) + " to " + std::to_string(To) + ", generation " +
         std::to_string(Fence);
}

} // namespace

endpoint::endpoint(endpoint_plan GivenPlan, deployment &Deployment)
    : Plan(std::move(GivenPlan)), Deployment(Deployment), Born(unixMs()),
      Listener(listenAt(Plan.Ip, Plan.Port)), Port(portOf(Listener)) {
  Deployment.log().write(Plan.Id, "starts at " + address());
  Acceptor = std::thread([this] { accept(); });
  Reporter = std::thread([this] { report(); });
}

endpoint::~endpoint() {
  crash();
  Reporter.join();
}

void endpoint::crash() {
  {
    const std::lock_guard Lock(Mutex);
    if (Ended.exchange(true))
      return;
  }
  Deployment.log().write(Plan.Id, "ends");
  ::shutdown(Listener, SHUT_RDWR);
  Changed.notify_all();
  Acceptor.join();
  ::close(Listener);
  for (visitor &Visitor : Visitors)
    ::shutdown(Visitor.Stream.socket(), SHUT_RDWR);
  for (visitor &Visitor : Visitors)
    Visitor.Thread.join();
  Visitors.clear();
  const std::lock_guard Lock(Mutex);
  for (held_span &Span : Held)
    Span.Until = std::min(Span.Until, clock::now());
}

std::string endpoint::address() const {
  return Plan.Ip + ":" + std::to_string(Port);
}

std::vector<held_span> endpoint::holdings() const {
  const std::lock_guard Lock(Mutex);
  return Held;
}

std::vector<run_entry> endpoint::runs() const {
  const std::lock_guard Lock(Mutex);
  return Runs;
}

void endpoint::accept() {
  while (!Ended) {
    const int Socket = ::accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      continue;
    const std::lock_guard Lock(VisitorsMutex);
    visitor &Visitor = Visitors.emplace_back(Socket);
    Visitor.Thread = std::thread([this, &Visitor] { serve(Visitor); });
  }
}

void endpoint::serve(visitor &Visitor) {
  std::this_thread::sleep_for(ConnectionCost);
  while (!Ended) {
    auto Request = Visitor.Stream.readHead(clock::now() + IdleTimeout);
    if (!Request || Ended)
      break;
    const std::string RequestId = Request->field("x-request-id");
    const bool Early = rejectsEarly(*Request);
    if (Early && !Visitor.Stream.send(notExecuted(Unavailable, RequestId),
                                      clock::now() + IdleTimeout))
      break;
    if (!Visitor.Stream.readBody(*Request, clock::now() + IdleTimeout))
      break;
    if (Early)
      continue;
    const std::string Answer = answer(*Request, Visitor.Stream);
    if (Answer.empty() ||
        !Visitor.Stream.send(Answer, clock::now() + IdleTimeout))
      break;
  }
  ::shutdown(Visitor.Stream.socket(), SHUT_RDWR);
}

//! Sends a liveness report at each interval, first to the address that the last
//! answer named.
void endpoint::report() {
  std::string Address;
  auto Due = clock::now() + Plan.FirstReport;
  for (;;) {
    {
      std::unique_lock Lock(Mutex);
      if (Changed.wait_until(Lock, Due, [this] { return Ended.load(); }))
        return;
    }
    Due = clock::now() + Deployment.plan().HeartbeatInterval;
    reportOnce(Address);
  }
}

//! Sends one report, first to \p Address, and keeps there what the answer
//! names. Returns whether the report was acknowledged.
bool endpoint::reportOnce(std::string &Address) {
  const std::lock_guard OneAtATime(ReportMutex);
  const json::object Report{
      {"address", address()},
      {"born", Born},
      {"information", json::object{{"service", Plan.Service},
                                   {"version", "v1"},
                                   {"zone", Plan.Zone},
                                   {"slots", Plan.Slots}}},
      {"status", json::object{{"state", Draining ? "draining" : "ready"},
                              {"sequence", ++Sequence},
                              {"cold_remaining_s", 0}}}};
  const auto Answer = Deployment.callControl(
      "POST", "/pomeloswitch/Instances.Heartbeat/" + Plan.Id,
      json::serialize(Report), ReportTimeout, Address);
  Address.clear();
  if (!Answer || Answer->status() != Ok)
    return false;
  boost::system::error_code Failure;
  const json::value Body = json::parse(Answer->Body, Failure);
  if (!Failure && Body.is_object())
    if (const auto *Named = Body.as_object().if_contains("heartbeat_address"))
      Address = std::string(Named->as_string());
  return true;
}

clock::time_point endpoint::drain() {
  Draining = true;
  Deployment.log().write(Plan.Id, "reports that it drains");
  std::string Address;
  while (!Ended && !reportOnce(Address)) {
  }
  Deployment.log().write(Plan.Id, "gets its draining confirmed");
  return clock::now();
}

//! Spreads the rejections evenly over the long requests.
bool endpoint::rejectsEarly(const message &Head) {
  constexpr long LongBody = 32768;
  const bool Long =
      Head.field("transfer-encoding") == "chunked" ||
      std::strtol(Head.field("content-length").c_str(), nullptr, 10) > LongBody;
  if (!Long || Plan.RejectsEarly <= 0)
    return false;
  const std::lock_guard Lock(Mutex);
  RejectionsDue += Plan.RejectsEarly;
  if (RejectionsDue < 1)
    return false;
  RejectionsDue -= 1;
  Deployment.log().write(Plan.Id, "rejects " + Head.field("x-request-id") +
                                      " before it is in");
  return true;
}

std::string endpoint::answer(const message &Request, const stream &From) {
  const std::string Path = Request.path();
  const std::string Expected = Request.field("x-expected-instance");
  if (Path == "/health")
    return responseText(
        Ok, {{"X-Instance-Id", Plan.Id}, {"X-Server-Load", loadText()}}, "");
  if (!Expected.empty() && Expected != Plan.Id)
    return notExecuted(WrongInstance, Request.field("x-request-id"));
  if (Path == "/pomeloswitch/grant")
    return grant(Request);
  if (Path == "/pomeloswitch/release")
    return release(Request);
  return run(Request, From);
}

std::string endpoint::grant(const message &Request) {
  const auto ArrivedAt = clock::now();
  const json::value Body = json::parse(Request.Body);
  const auto From = Body.at("from").to_number<std::uint32_t>();
  const auto To = Body.at("target").to_number<std::uint32_t>();
  const auto Fence = Body.at("fence").to_number<std::int64_t>();
  const std::chrono::duration<double> Hold(
      Body.at("hold_s").to_number<double>());
  const auto Until =
      ArrivedAt + std::chrono::duration_cast<clock::duration>(Hold);
  const std::lock_guard Lock(Mutex);
  for (const held_span &Known : Held)
    if (Known.From <= To && From <= Known.To && Known.Fence > Fence)
      return responseText(Conflict, {}, "");
  Deployment.log().write(Plan.Id, "is granted " + keysText(From, To, Fence) +
                                      " for " + std::to_string(Hold.count()) +
                                      " s");
  // A renewal of the same grant extends it.
  for (held_span &Known : Held)
    if (Known.From == From && Known.To == To && Known.Fence == Fence &&
        Known.Until > ArrivedAt) {
      Known.Until = std::max(Known.Until, Until);
      return responseText(Ok, {}, "");
    }
  Held.push_back({From, To, Fence, ArrivedAt, Until});
  return responseText(Ok, {}, "");
}

//! Answers when the work on the keys has ended.
std::string endpoint::release(const message &Request) {
  const auto Now = clock::now();
  const json::value Body = json::parse(Request.Body);
  const auto From = Body.at("from").to_number<std::uint32_t>();
  const auto To = Body.at("target").to_number<std::uint32_t>();
  const auto Fence = Body.at("fence").to_number<std::int64_t>();
  std::unique_lock Lock(Mutex);
  Deployment.log().write(Plan.Id, "releases " + keysText(From, To, Fence));
  std::vector<held_span> Rest;
  for (held_span &Span : Held) {
    if (Span.Until <= Now || Span.To < From || To < Span.From)
      continue;
    held_span Part = Span;
    Part.Since = Now;
    Span.Until = Now;
    if (Part.From < From)
      Rest.push_back({Part.From, From - 1, Part.Fence, Now, Part.Until});
    if (To < Part.To)
      Rest.push_back({To + 1, Part.To, Part.Fence, Now, Part.Until});
  }
  for (const held_span &Span : Rest)
    Held.push_back(Span);
  Changed.wait(Lock, [&] {
    const auto AtWork = KeysAtWork.lower_bound(From);
    return Ended || AtWork == KeysAtWork.end() || *AtWork > To;
  });
  return Ended ? std::string()
               : responseText(Ok, {{"X-Handover", "5c0e7a21d94b36f8"}}, "");
}

bool endpoint::holds(std::uint32_t Key, clock::time_point Now) const {
  return std::any_of(Held.begin(), Held.end(), [&](const held_span &Span) {
    return Span.From <= Key && Key <= Span.To && Span.Since <= Now &&
           Now < Span.Until;
  });
}

std::string endpoint::loadText() const {
  return std::to_string(Running) + ",0," + std::to_string(Plan.Slots);
}

//! Works on a request; drops it when its connection closes.
std::string endpoint::run(const message &Request, const stream &From) {
  const std::string RequestId = Request.field("x-request-id");
  if (RequestId.empty())
    return notExecuted(BadRequest, RequestId);
  const auto Key = static_cast<std::uint32_t>(
      std::strtoul(Request.field("x-shard-key").c_str(), nullptr, 10));
  const milliseconds Allowed(std::strtol(
      Request.field("x-deadline-milliseconds").c_str(), nullptr, 10));
  const auto BeganAt = clock::now();
  std::size_t Number = 0;
  {
    const std::lock_guard Lock(Mutex);
    if (Plan.Sharded && !holds(Key, BeganAt))
      return notExecuted(WrongInstance, RequestId);
    if (Running >= Plan.Slots)
      return notExecuted(Unavailable, RequestId);
    ++Running;
    if (Plan.Sharded)
      KeysAtWork.insert(Key);
    Number = Runs.size();
    Runs.push_back({RequestId, BeganAt, {}, false, Request.Body});
  }
  Deployment.log().write(Plan.Id, "runs " + RequestId + " with a body of " +
                                      std::to_string(Request.Body.size()));
  if (!Plan.CrashingBody.empty() && Request.Body == Plan.CrashingBody) {
    Crashing = true;
    while (!Ended)
      std::this_thread::sleep_for(milliseconds(1));
    return {};
  }
  const auto EndsAt = BeganAt + std::min(Plan.Work, Allowed);
  while (clock::now() < EndsAt && !Ended && !From.awaitClose(EndsAt)) {
  }
  const std::lock_guard Lock(Mutex);
  const auto Now = clock::now();
  --Running;
  if (Plan.Sharded)
    KeysAtWork.erase(KeysAtWork.find(Key));
  Changed.notify_all();
  Runs[Number].EndedAt = Now;
  Runs[Number].Dropped = Now < EndsAt;
  const bool LostKey = Plan.Sharded && !holds(Key, Now);
  Deployment.log().write(
      Plan.Id, (Runs[Number].Dropped ? "drops " : "has run ") + RequestId);
  if (Runs[Number].Dropped)
    return {};
  const int Status = LostKey               ? WorkFailed
                     : Allowed < Plan.Work ? OutOfTime
                                           : Ok;
  return responseText(Status,
                      {{"X-Request-Id", RequestId},
                       {"X-Response-Signature", "3e1b." + RequestId},
                       {"X-Server-Load", loadText()}},
                      "the answer to " + RequestId);
}

} // namespace pomelo::review
