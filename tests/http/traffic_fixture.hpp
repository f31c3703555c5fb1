//! Fixture that runs a caller server on its own thread in front of test
//! targets.
#ifndef POMELOSWITCH_TESTS_HTTP_TRAFFIC_FIXTURE_HPP
#define POMELOSWITCH_TESTS_HTTP_TRAFFIC_FIXTURE_HPP

#include "emulator/child_process.hpp"
#include "emulator/http_call.hpp"
#include "pomeloswitch/http/caller_server.hpp"
#include "pomeloswitch/http/emptied_io_context.hpp"
#include "pomeloswitch/routing/authentication.hpp"
#include "pomeloswitch/wire/peer_link.hpp"
#include "pomeloswitch_wire/inner.pb.h"
#include "scripted_target.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <vector>

namespace pomelo {

//! Answers every claim immediately with Verdict and records the outcomes.
class fake_records final : public request_state_client {
public:
  void claim(claim_request, std::function<void(claim_reply)> Done) override {
    if (!Silent)
      Done({Verdict, nullptr, 1});
  }
  void finish(const claim_request &, std::uint64_t,
              std::optional<kept_answer> Answer) override {
    const std::lock_guard Lock(Mutex);
    Outcomes.push_back(Answer ? "answered " + Answer->Body : "unknown");
  }
  void release(const claim_request &, std::uint64_t) override {
    const std::lock_guard Lock(Mutex);
    Outcomes.emplace_back("not run");
  }
  void reportCrash(crash_report, std::function<void()> Done) override {
    if (Done)
      Done();
  }
  void clearSuspect(std::string) override {}

  std::vector<std::string> outcomes() {
    const std::lock_guard Lock(Mutex);
    return Outcomes;
  }

  claim_verdict Verdict = claim_verdict::Granted;
  bool Silent = false; //!< Answers no claim.

private:
  std::mutex Mutex;
  std::vector<std::string> Outcomes;
};

//! Defines the open-access routes /idempotent, /once and /keyed, /safe and
//! /unsafe with a long deadline, and /claimed, which requires an account. The
//! first target owns all keys.
class traffic_fixture {
public:
  //! Gives the service \p Members targets, all of them at \p Address.
  traffic_fixture(const boost::asio::ip::tcp::endpoint &Address,
                  unsigned Members,
                  const target_dialect &Dialect = defaultDialect())
      : Key(deriveAccountKey(Secret, "1")),
        Context(Io, RoutingLease, Quota, Secret, "a", Dialect),
        Server(Context, {boost::asio::ip::address_v4::loopback(), 0}, {}) {
    RoutingLease.extendTo(lease_clock::now() + std::chrono::hours(1));
    const auto Now = std::chrono::steady_clock::now();
    Quota.bucket("large");
    Quota.apply(1, {1, 1, false, {{"large", 1, 1000, 100, 1000, 0, false}}},
                Now + std::chrono::hours(1), Now);
    Context.View = makeView(Address, Members);
    Context.Records = &Records;
    Thread = std::thread([this] { Io.run(); });
  }
  ~traffic_fixture() {
    Io.stop();
    Thread.join();
    // Requests that have not ended use the members below.
    Io.shutdown();
  }

  emulator::http_answer call(const std::string &Method,
                             const std::string &Target,
                             const std::string &Body = {}) {
    return emulator::call(address(), {Method,
                                      Target,
                                      {{"Authorization", "Bearer " + Key.Text},
                                       {"Idempotency-Key", "k"}},
                                      Body,
                                      std::chrono::seconds(5)});
  }
  //! Ends the host's lease, as if it had lost contact.
  void endLease() { RoutingLease.extendTo(lease_clock::now()); }
  //! Makes the host's link known.
  void useLink(double BytesPerSecond) {
    boost::asio::post(Io, [this, BytesPerSecond] {
      Context.Sending.Link = link_pacer(BytesPerSecond);
    });
  }
  //! Publishes a routing view that \p Change has modified.
  void changeView(std::function<void(routing_view &)> Change) {
    boost::asio::post(Io, [this, Change = std::move(Change)] {
      auto View = std::make_shared<routing_view>(*Context.View);
      Change(*View);
      Context.View = View;
      Context.Pool.retain(*View);
    });
  }
  //! Publishes a routing view whose rules \p Change has modified.
  void changeRules(std::function<void(rules &)> Change) {
    changeView([Change = std::move(Change)](routing_view &View) {
      auto Rules = std::make_shared<rules>(*View.Rules);
      Change(*Rules);
      View.Rules = std::move(Rules);
    });
  }
  void removeRoute(const std::string &PathPrefix) {
    changeRules([PathPrefix](rules &Rules) {
      std::erase_if(Rules.Routes, [&PathPrefix](const route &Each) {
        return Each.PathPrefix == PathPrefix;
      });
    });
  }
  //! What was counted for roll-outs up to now.
  outcomes_by_service rolloutCounts() {
    std::promise<outcomes_by_service> Counts;
    boost::asio::post(
        Io, [this, &Counts] { Counts.set_value(Context.Rollouts.outcomes()); });
    return Counts.get_future().get();
  }
  //! As a host that has not had a lease since its start.
  void forgetLease() { RoutingLease.forget(); }
  void regainLease() {
    RoutingLease.extendTo(lease_clock::now() + std::chrono::hours(1));
  }
  //! Publishes a routing view in which the process of the first target has
  //! crashed.
  void reportCrash() {
    wire::report_crash Report;
    Report.set_fingerprint("0123456789abcdef");
    Report.set_target_id("t0");
    auto Crashes = std::make_shared<crash_table>();
    Crashes->report(Report, 1);
    changeView([Crashes](routing_view &View) { View.Crashes = Crashes; });
  }
  //! Begins the stop of the caller server on its thread once \p Ready returns
  //! true; the thread is blocked until then.
  void beginStopOnce(std::function<bool()> Ready) {
    boost::asio::post(Io, [this, Ready = std::move(Ready)] {
      emulator::waitUntil(Ready, std::chrono::seconds(2));
      Context.Stopping = true;
      Server.beginStop();
    });
  }
  //! Tells that the process ends after \p Time; its requests end before.
  void announceEnd(std::chrono::milliseconds Time) {
    boost::asio::post(Io, [this, Time] {
      Context.announceEnd(std::chrono::steady_clock::now() + Time);
    });
  }
  [[nodiscard]] std::string address() const {
    return toString(Server.address());
  }
  [[nodiscard]] const std::string &key() const { return Key.Text; }

  fake_records Records;

private:
  static constexpr std::string_view Rules = R"({"routes": [
    {"name": "idempotent", "path_prefix": "/idempotent", "service": "s",
     "access": "open", "idempotent": true, "deadline_ms": 800},
    {"name": "once", "path_prefix": "/once", "service": "s",
     "access": "open", "deadline_ms": 800},
    {"name": "keyed", "path_prefix": "/keyed", "service": "k",
     "access": "open", "idempotent": true, "deadline_ms": 800,
     "key": {"from": "query", "name": "key"}},
    {"name": "safe", "path_prefix": "/safe", "service": "s",
     "access": "open", "idempotent": true, "deadline_ms": 4000},
    {"name": "unsafe", "path_prefix": "/unsafe", "service": "s",
     "access": "open", "deadline_ms": 4000},
    {"name": "claimed", "path_prefix": "/claimed", "service": "s",
     "deadline_ms": 2000}]})";

  std::shared_ptr<const routing_view>
  makeView(const boost::asio::ip::tcp::endpoint &Address, unsigned Members) {
    auto View = std::make_shared<routing_view>();
    View->Rules = std::make_shared<rules>(parseRules(Rules));
    View->Keys = std::make_shared<key_map>(
        key_map{{Key.Id, account_key{"large", Key.Hash, false}}});
    routing_service &Service = View->Services["s"];
    for (unsigned Number = 0; Number < Members; ++Number) {
      auto Target = std::make_shared<routing_target>();
      Target->Member.TargetId = "t" + std::to_string(Number);
      Target->Member.FailureDomain = "a";
      Target->Address = Address;
      Target->ConnectionShare = 8;
      View->Targets[Target->Member.TargetId] = Target;
      Service.Targets.push_back(Target);
    }
    slot_ownership Slot;
    Slot.Owner = "t0";
    Slot.Phase = slot_phase::Active;
    View->Services["k"].Slots = std::make_shared<slot_table>(1, Slot);
    return View;
  }

  static const target_dialect &defaultDialect() {
    static const pomelo_dialect Dialect;
    return Dialect;
  }

  static inline const std::string Secret = "cluster secret";
  new_account_key Key;
  emptied_io_context Io{1};
  routing_lease RoutingLease;
  host_quota Quota{[] {}};
  traffic_context Context;
  caller_server Server;
  std::thread Thread;
};

} // namespace pomelo

#endif
