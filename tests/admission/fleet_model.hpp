//! Entry hosts' quotas and one account's ledger with messages between them
//! that are delayed and lost, in simulated time.
#ifndef POMELOSWITCH_TESTS_ADMISSION_FLEET_MODEL_HPP
#define POMELOSWITCH_TESTS_ADMISSION_FLEET_MODEL_HPP

#include "pomeloswitch/admission/host_quota.hpp"
#include "pomeloswitch/admission/rate_ledger.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace pomelo {

struct model_plan {
  unsigned Hosts = 12;
  double Rate = 1000;    //!< Of the account, requests/s.
  double Burst = 1000;   //!< Requests.
  double Offered = 0.9;  //!< Parts of the rate that arrive in all.
  milliseconds Pause{0}; //!< Length of pauses in the load and between them.
  double HotPart = 0.8;  //!< Of the arrivals, at one host.
  milliseconds HotShift{2000};
  double Loss = 0; //!< Of messages.
  double Duplicates = 0;
  bool FixedShares = false; //!< The baseline: equal parts, no leader.
  milliseconds Delay{1};    //!< Longest, one way.
  double LedgerSpeed = 1;   //!< Of the leader's clock.
  milliseconds Length{20000};
  std::uint64_t Seed = 1;
  //! Called each millisecond, to bring about failures.
  std::function<void(class fleet_model &, milliseconds)> Script;
};

struct model_result {
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  double LeastReserve = 0; //!< Of a bucket of the rate and burst; >= 0.
  std::map<unsigned, std::uint64_t> RefusedInSecond;

  [[nodiscard]] double refusedPercent() const {
    return 100.0 * static_cast<double>(Refused) / static_cast<double>(Arrived);
  }
};

class fleet_model {
public:
  explicit fleet_model(model_plan GivenPlan)
      : Plan(std::move(GivenPlan)), Random(Plan.Seed), Reserve(Plan.Burst) {
    Result.LeastReserve = Plan.Burst;
    for (unsigned Number = 0; Number < Plan.Hosts; ++Number) {
      Hosts.push_back(std::make_unique<host>());
      start(Number);
    }
    lead();
  }

  model_result run() {
    for (milliseconds Time{0}; Time < Plan.Length; ++Time) {
      Now = mono_time(std::chrono::seconds(1000) + Time);
      if (Plan.Script)
        Plan.Script(*this, Time);
      deliver();
      arrive(Time);
      for (unsigned Number = 0; Number < Plan.Hosts; ++Number)
        serve(Number, Time);
    }
    return Result;
  }

  //! A new leader that knows nothing.
  void lead() {
    Ledger = std::make_unique<rate_ledger>(lease_times());
    Ledger->startTerm(++Term, ledgerNow());
    Leading = true;
  }
  void loseLeader() { Leading = false; }
  void setCut(unsigned Number, bool Value) { Hosts[Number]->Cut = Value; }
  void stop(unsigned Number) { Hosts[Number]->Up = false; }
  //! As lease_table has it: in contact only once the earlier run's lease ended.
  void start(unsigned Number) {
    host &Host = *Hosts[Number];
    host *Self = &Host;
    Host.Up = true;
    ++Host.Incarnation;
    Host.Quota = std::make_unique<host_quota>(
        [this, Self] { Self->BeatDue = std::min(Self->BeatDue, Now + Hurry); });
    Host.Sequence = 0;
    Host.Waiting.clear();
    Host.BeatDue = Now;
    if (Plan.FixedShares)
      fixShare(Host);
    Registered[nameOf(Number)] = {nameOf(Number), Host.Incarnation, "a"};
  }

private:
  static constexpr milliseconds Interval{200};
  static constexpr milliseconds Hurry{5};
  static constexpr milliseconds MaxWait{100};
  static constexpr milliseconds MaxUndecidedWait{500};

  struct host {
    std::unique_ptr<host_quota> Quota;
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    mono_time BeatDue;
    bool Up = true;
    bool Cut = false;
    mono_time LastAnswered{}; //!< By the leader, any run.
    std::uint64_t AnsweredRun = 0;
    std::deque<mono_time> Waiting;
  };

  void fixShare(host &Host) const {
    const double Rate = Plan.Rate / Plan.Hosts;
    const double Depth = Plan.Burst / Plan.Hosts;
    Host.Quota->bucket("a").apply({"a", 1, Rate, Depth, 0, 0, true}, true,
                                  Now + Plan.Length, Now);
  }
  static std::string nameOf(unsigned Number) {
    return "e" + std::to_string(Number);
  }
  mono_time ledgerNow() const {
    return mono_time(std::chrono::duration_cast<mono_time::duration>(
        Now.time_since_epoch() * Plan.LedgerSpeed));
  }
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }

  void post(const std::function<void()> &Message) {
    const auto At = [this] {
      return Now + std::chrono::duration_cast<mono_time::duration>(
                       Plan.Delay * (0.5 + draw() / 2));
    };
    if (draw() >= Plan.Loss)
      Messages.emplace(At(), Message);
    if (draw() < Plan.Duplicates)
      Messages.emplace(At(), Message);
  }

  void deliver() {
    while (!Messages.empty() && Messages.begin()->first <= Now) {
      const auto Message = Messages.extract(Messages.begin());
      Message.mapped()();
    }
  }

  void beat(unsigned Number) {
    host &Host = *Hosts[Number];
    quota_report Report = Host.Quota->report(Now);
    Report.Sequence = ++Host.Sequence;
    const mono_time Sent = Now;
    const std::uint64_t Run = Host.Incarnation;
    if (!Host.Cut)
      post([this, Number, Report, Sent, Run] {
        onReport(Number, Run, Report, Sent);
      });
    Host.BeatDue = Now + Interval;
  }

  void onReport(unsigned Number, std::uint64_t Run, const quota_report &Report,
                mono_time Sent) {
    host &Host = *Hosts[Number];
    const lease_times Times;
    if (!Leading || Run != Host.Incarnation)
      return;
    if (Host.AnsweredRun != 0 && Host.AnsweredRun != Run &&
        ledgerNow() - Host.LastAnswered <= Times.withDrift(Times.HostLease))
      return;
    Host.AnsweredRun = Run;
    Host.LastAnswered = ledgerNow();
    const std::vector<client_account> Accounts{{"a", Plan.Rate, Plan.Burst}};
    const auto Grant = Ledger->answer({nameOf(Number), Run}, Report, Accounts,
                                      Registered, ledgerNow());
    if (!Grant || Host.Cut)
      return;
    post([this, Number, Run, Report, Sent, Given = *Grant] {
      host &Receiver = *Hosts[Number];
      if (Receiver.Up && !Receiver.Cut && Receiver.Incarnation == Run &&
          Receiver.Quota->apply(Report.Sequence, Given,
                                Sent + lease_times().HostLease, Now))
        Receiver.BeatDue = std::min(Receiver.BeatDue, Now + Hurry);
    });
  }

  void arrive(milliseconds Time) {
    if (Plan.Pause.count() > 0 && (Time / Plan.Pause) % 2 == 0)
      return;
    std::poisson_distribution<unsigned> Count(Plan.Rate * Plan.Offered / 1000);
    const auto Hot = static_cast<unsigned>(Time / Plan.HotShift) % Plan.Hosts;
    for (unsigned Left = Count(Random); Left > 0; --Left) {
      unsigned Number = Hot;
      if (draw() >= Plan.HotPart)
        Number =
            std::uniform_int_distribution<unsigned>(0, Plan.Hosts - 1)(Random);
      while (!Hosts[Number]->Up) // The balancer sends callers elsewhere.
        Number = (Number + 1) % Plan.Hosts;
      host &Host = *Hosts[Number];
      ++Result.Arrived;
      account_bucket &Bucket = Host.Quota->bucket("a");
      if (Bucket.admitArrival(Now)) {
        admitted();
      } else if (Bucket.beginWait(Now, MaxWait)) {
        Host.Waiting.push_back(Now);
        Host.Quota->askForMore(Now);
      } else {
        refuse(Time);
      }
    }
  }

  void serve(unsigned Number, milliseconds Time) {
    host &Host = *Hosts[Number];
    if (!Host.Up)
      return;
    account_bucket &Bucket = Host.Quota->bucket("a");
    while (!Host.Waiting.empty()) {
      const bool Admitted = Bucket.admitWaiting(Now);
      const milliseconds Longest =
          Bucket.decided(Now) ? MaxWait : MaxUndecidedWait;
      if (!Admitted && Now - Host.Waiting.front() < Longest)
        break;
      Host.Waiting.pop_front();
      Bucket.endWait();
      Admitted ? admitted() : refuse(Time);
    }
    if (!Host.Waiting.empty())
      Host.Quota->askForMore(Now);
    if (Now >= Host.BeatDue && !Plan.FixedShares)
      beat(Number);
  }

  //! A bucket of the account's rate and burst that begins full holds a token
  //! for each admission if and only if no window has more than rate * W +
  //! burst.
  void admitted() {
    ++Result.Admitted;
    const std::chrono::duration<double> Elapsed = Now - ReserveAt;
    const double Speed = std::max(1.0, Plan.LedgerSpeed);
    Reserve =
        std::min(Plan.Burst, Reserve + Plan.Rate * Speed * Elapsed.count());
    ReserveAt = Now;
    Reserve -= 1;
    Result.LeastReserve = std::min(Result.LeastReserve, Reserve);
  }
  void refuse(milliseconds Time) {
    ++Result.Refused;
    ++Result.RefusedInSecond[static_cast<unsigned>(Time.count() / 1000)];
  }

  model_plan Plan;
  std::mt19937_64 Random;
  mono_time Now{std::chrono::seconds(1000)};
  std::unique_ptr<rate_ledger> Ledger;
  std::uint64_t Term = 0;
  bool Leading = true;
  entry_map Registered;
  std::vector<std::unique_ptr<host>> Hosts;
  std::multimap<mono_time, std::function<void()>> Messages;
  double Reserve;
  mono_time ReserveAt{};
  model_result Result;
};

} // namespace pomelo

#endif
