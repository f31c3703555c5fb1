//! Simulates the quotas of entry hosts and the ledger of one account, with
//! delayed, duplicated and lost messages, in simulated time.
#ifndef POMELOSWITCH_TESTS_ADMISSION_FLEET_SIMULATION_HPP
#define POMELOSWITCH_TESTS_ADMISSION_FLEET_SIMULATION_HPP

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

struct simulation_plan {
  unsigned Hosts = 12;
  double Rate = 1000;       //!< Of the account, requests/s.
  double Burst = 1000;      //!< Requests.
  double OfferedLoad = 0.9; //!< Arrivals as a fraction of the rate.
  milliseconds Pause{0};    //!< Length of load pauses and of load phases.
  double HotFraction = 0.8; //!< Fraction of arrivals at one host.
  milliseconds HotHostInterval{2000};
  double LossRate = 0; //!< Fraction of messages.
  double DuplicateRate = 0;
  bool FixedShares = false;    //!< Baseline: equal shares, no leader.
  milliseconds Delay{1};       //!< Maximum, one way.
  double LeaderClockSpeed = 1; //!< Relative speed of the leader's clock.
  milliseconds Length{20000};
  std::uint64_t Seed = 1;
  //! Called every simulated millisecond to inject failures.
  std::function<void(class fleet_simulation &, milliseconds)> Script;
};

struct simulation_result {
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  double MinReserve = 0; //!< Of the reference bucket; >= 0 if correct.
  std::map<unsigned, std::uint64_t> RefusedInSecond;

  [[nodiscard]] double refusedPercent() const {
    return 100.0 * static_cast<double>(Refused) / static_cast<double>(Arrived);
  }
};

class fleet_simulation {
public:
  explicit fleet_simulation(simulation_plan GivenPlan)
      : Plan(std::move(GivenPlan)), Random(Plan.Seed), Reserve(Plan.Burst) {
    Result.MinReserve = Plan.Burst;
    for (unsigned Number = 0; Number < Plan.Hosts; ++Number) {
      Hosts.push_back(std::make_unique<host>());
      start(Number);
    }
    startLeader();
  }

  simulation_result run() {
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

  //! Starts a new leader without any knowledge of earlier grants.
  void startLeader() {
    Ledger = std::make_unique<rate_ledger>(lease_times());
    Ledger->startTerm(++Term, leaderNow());
    Leading = true;
  }
  void stopLeader() { Leading = false; }
  void setPartitioned(unsigned Number, bool Value) {
    Hosts[Number]->Partitioned = Value;
  }
  void stop(unsigned Number) { Hosts[Number]->Up = false; }
  //! Starts a host. As in lease_table, the new run gets answers only once the
  //! lease of the previous run has expired.
  void start(unsigned Number) {
    host &Host = *Hosts[Number];
    host *Self = &Host;
    Host.Up = true;
    ++Host.Incarnation;
    Host.Quota = std::make_unique<host_quota>([this, Self] {
      Self->HeartbeatDue = std::min(Self->HeartbeatDue, Now + ShortageDelay);
    });
    Host.Sequence = 0;
    Host.Waiting.clear();
    Host.HeartbeatDue = Now;
    if (Plan.FixedShares)
      applyFixedShare(Host);
    Registered[nameOf(Number)] = {nameOf(Number), Host.Incarnation, "a"};
  }

private:
  static constexpr milliseconds Interval{200};
  static constexpr milliseconds ShortageDelay{5};
  static constexpr milliseconds MaxWait{100};
  static constexpr milliseconds MaxUndecidedWait{500};

  struct host {
    std::unique_ptr<host_quota> Quota;
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    mono_time HeartbeatDue;
    bool Up = true;
    bool Partitioned = false;
    mono_time LastAnswered{}; //!< By the leader, in any run.
    std::uint64_t AnsweredRun = 0;
    std::deque<mono_time> Waiting;
  };

  void applyFixedShare(host &Host) const {
    const double Rate = Plan.Rate / Plan.Hosts;
    const double Depth = Plan.Burst / Plan.Hosts;
    Host.Quota->bucket("a").apply({"a", 1, Rate, Depth, 0, 0, true}, true,
                                  Now + Plan.Length, Now);
  }
  static std::string nameOf(unsigned Number) {
    return "e" + std::to_string(Number);
  }
  mono_time leaderNow() const {
    return mono_time(std::chrono::duration_cast<mono_time::duration>(
        Now.time_since_epoch() * Plan.LeaderClockSpeed));
  }
  double randomFraction() {
    return std::uniform_real_distribution<>(0, 1)(Random);
  }

  void send(const std::function<void()> &Message) {
    const auto At = [this] {
      return Now + std::chrono::duration_cast<mono_time::duration>(
                       Plan.Delay * (0.5 + randomFraction() / 2));
    };
    if (randomFraction() >= Plan.LossRate)
      Messages.emplace(At(), Message);
    if (randomFraction() < Plan.DuplicateRate)
      Messages.emplace(At(), Message);
  }

  void deliver() {
    while (!Messages.empty() && Messages.begin()->first <= Now) {
      const auto Message = Messages.extract(Messages.begin());
      Message.mapped()();
    }
  }

  void sendHeartbeat(unsigned Number) {
    host &Host = *Hosts[Number];
    quota_report Report = Host.Quota->report(Now);
    Report.Sequence = ++Host.Sequence;
    const mono_time Sent = Now;
    const std::uint64_t Run = Host.Incarnation;
    if (!Host.Partitioned)
      send([this, Number, Report, Sent, Run] {
        onReport(Number, Run, Report, Sent);
      });
    Host.HeartbeatDue = Now + Interval;
  }

  void onReport(unsigned Number, std::uint64_t Run, const quota_report &Report,
                mono_time Sent) {
    host &Host = *Hosts[Number];
    const lease_times Times;
    if (!Leading || Run != Host.Incarnation)
      return;
    if (Host.AnsweredRun != 0 && Host.AnsweredRun != Run &&
        leaderNow() - Host.LastAnswered <= Times.withDrift(Times.HostLease))
      return;
    Host.AnsweredRun = Run;
    Host.LastAnswered = leaderNow();
    const std::vector<client_account> Accounts{{"a", Plan.Rate, Plan.Burst}};
    const auto Grant = Ledger->answer({nameOf(Number), Run}, Report, Accounts,
                                      Registered, leaderNow());
    if (!Grant || Host.Partitioned)
      return;
    send([this, Number, Run, Report, Sent, Given = *Grant] {
      host &Receiver = *Hosts[Number];
      if (Receiver.Up && !Receiver.Partitioned && Receiver.Incarnation == Run &&
          Receiver.Quota->apply(Report.Sequence, Given,
                                Sent + lease_times().HostLease, Now))
        Receiver.HeartbeatDue =
            std::min(Receiver.HeartbeatDue, Now + ShortageDelay);
    });
  }

  void arrive(milliseconds Time) {
    if (Plan.Pause.count() > 0 && (Time / Plan.Pause) % 2 == 0)
      return;
    std::poisson_distribution<unsigned> Count(Plan.Rate * Plan.OfferedLoad /
                                              1000);
    const auto Hot =
        static_cast<unsigned>(Time / Plan.HotHostInterval) % Plan.Hosts;
    for (unsigned Left = Count(Random); Left > 0; --Left) {
      unsigned Number = Hot;
      if (randomFraction() >= Plan.HotFraction)
        Number =
            std::uniform_int_distribution<unsigned>(0, Plan.Hosts - 1)(Random);
      while (!Hosts[Number]->Up) // The load balancer skips stopped hosts.
        Number = (Number + 1) % Plan.Hosts;
      host &Host = *Hosts[Number];
      ++Result.Arrived;
      account_bucket &Bucket = Host.Quota->bucket("a");
      if (Bucket.admitArrival(Now)) {
        recordAdmission();
      } else if (Bucket.beginWait(Now, MaxWait)) {
        Host.Waiting.push_back(Now);
        Host.Quota->requestTokens(Now);
      } else {
        recordRefusal(Time);
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
      const milliseconds MaxWaitNow =
          Bucket.isDecided(Now) ? MaxWait : MaxUndecidedWait;
      if (!Admitted && Now - Host.Waiting.front() < MaxWaitNow)
        break;
      Host.Waiting.pop_front();
      Bucket.endWait();
      Admitted ? recordAdmission() : recordRefusal(Time);
    }
    if (!Host.Waiting.empty())
      Host.Quota->requestTokens(Now);
    if (Now >= Host.HeartbeatDue && !Plan.FixedShares)
      sendHeartbeat(Number);
  }

  //! Takes a token from a reference bucket with the rate and burst of the
  //! account that starts full. It has a token for every admission if and only
  //! if no window W has more than rate * W + burst admissions.
  void recordAdmission() {
    ++Result.Admitted;
    const std::chrono::duration<double> Elapsed = Now - ReserveAt;
    const double ClockSpeed = std::max(1.0, Plan.LeaderClockSpeed);
    Reserve = std::min(Plan.Burst,
                       Reserve + Plan.Rate * ClockSpeed * Elapsed.count());
    ReserveAt = Now;
    Reserve -= 1;
    Result.MinReserve = std::min(Result.MinReserve, Reserve);
  }
  void recordRefusal(milliseconds Time) {
    ++Result.Refused;
    ++Result.RefusedInSecond[static_cast<unsigned>(Time.count() / 1000)];
  }

  simulation_plan Plan;
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
  simulation_result Result;
};

} // namespace pomelo

#endif
