//! Simulates the quotas of entry hosts and the ledger of accounts that are
//! alike, with delayed, duplicated and lost messages, in simulated time.
#ifndef POMELOSWITCH_TESTS_ADMISSION_FLEET_SIMULATION_HPP
#define POMELOSWITCH_TESTS_ADMISSION_FLEET_SIMULATION_HPP

#include "pomeloswitch/admission/host_quota.hpp"
#include "pomeloswitch/admission/rate_ledger.hpp"
#include "pomeloswitch/entry/heartbeat_schedule.hpp"
#include "pomeloswitch/entry/token_schedule.hpp"

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
  unsigned Accounts = 1;
  double Rate = 1000;       //!< Of each account, requests/s.
  double Burst = 1000;      //!< Requests.
  double OfferedLoad = 0.9; //!< Arrivals as a fraction of the rate.
  //! Of the first account; 0 if it is as that of the others.
  double FirstOfferedLoad = 0;
  milliseconds Pause{0};    //!< Length of load pauses and of load phases.
  double HotFraction = 0.8; //!< Fraction of arrivals at one host.
  milliseconds HotHostInterval{2000};
  double LossRate = 0; //!< Fraction of messages.
  double DuplicateRate = 0;
  bool FixedShares = false;    //!< Baseline: equal shares, no leader.
  milliseconds Delay{1};       //!< Maximum, one way.
  double LeaderClockSpeed = 1; //!< Relative speed of the leader's clock.
  milliseconds Length{20000};
  //! How long requests wait while the leader has decided nothing.
  milliseconds MaxUndecidedWait{500};
  std::uint64_t Seed = 1;
  //! Called every simulated millisecond to inject failures.
  std::function<void(class fleet_simulation &, milliseconds)> Script;
};

struct simulation_result {
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  double MinReserve = 0; //!< Of the reference buckets; >= 0 if correct.
  std::map<unsigned, std::uint64_t> RefusedInSecond;
  std::vector<std::uint64_t> RefusedOfAccount;
  //! Milliseconds from arrival to admission, except of the first account if its
  //! load differs.
  std::vector<unsigned> Waits;
  std::uint64_t Messages = 0; //!< To the leader.

  //! Returns the wait that the given part of the admissions does not exceed.
  [[nodiscard]] unsigned waitOf(double Part) const {
    std::vector<unsigned> Sorted = Waits;
    std::sort(Sorted.begin(), Sorted.end());
    return Sorted.at(static_cast<std::size_t>(
        Part * static_cast<double>(Sorted.size() - 1)));
  }
  [[nodiscard]] double refusedPercent() const {
    return 100.0 * static_cast<double>(Refused) / static_cast<double>(Arrived);
  }
};

class fleet_simulation {
public:
  explicit fleet_simulation(simulation_plan GivenPlan)
      : Plan(std::move(GivenPlan)), Random(Plan.Seed),
        References(Plan.Accounts, {Plan.Burst, mono_time{}}) {
    Result.MinReserve = Plan.Burst;
    Result.RefusedOfAccount.resize(Plan.Accounts);
    for (unsigned Number = 0; Number < Plan.Accounts; ++Number)
      Accounts.push_back({"a" + std::to_string(Number), Plan.Rate, Plan.Burst});
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
      if (Self->Schedule.leaderKnown(Now))
        Self->Tokens.want();
      else
        Self->Schedule.want(Now);
    });
    Host.Sequence = 0;
    Host.Waiting.assign(Plan.Accounts, {});
    Host.Schedule = heartbeat_schedule();
    Host.Schedule.setHostCount(Plan.Hosts);
    Host.Tokens = token_schedule();
    if (Plan.FixedShares)
      applyFixedShare(Host);
    Registered[nameOf(Number)] = {nameOf(Number), Host.Incarnation, "a"};
  }

private:
  static constexpr milliseconds MaxWait{100};
  static constexpr milliseconds PollInterval{5};

  struct waiting_request {
    mono_time ArrivedAt;
    mono_time WaitsUntil;
  };
  struct host {
    std::unique_ptr<host_quota> Quota;
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    heartbeat_schedule Schedule;
    token_schedule Tokens;
    bool Up = true;
    bool Partitioned = false;
    mono_time LastAnswered{}; //!< By the leader, in any run.
    std::uint64_t AnsweredRun = 0;
    std::vector<std::deque<waiting_request>> Waiting; //!< By account.
  };
  //! A bucket with the rate and burst of an account that starts full.
  struct reference_bucket {
    double Tokens = 0;
    mono_time At;
  };

  void applyFixedShare(host &Host) const {
    const double Rate = Plan.Rate / Plan.Hosts;
    const double Depth = Plan.Burst / Plan.Hosts;
    Host.Quota->bucket("a0").apply({"a0", 1, Rate, Depth, 0, 0, true}, true,
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
    Host.Schedule.sent(Report.Sequence, Now);
    Host.Tokens.sent(Report.Sequence);
  }

  void sendTokenRequest(unsigned Number) {
    host &Host = *Hosts[Number];
    quota_report Report = Host.Quota->tokenReport(Now);
    if (Report.Accounts.empty()) {
      if (Host.Quota->hasShortage(Now))
        Host.Schedule.want(Now);
      return Host.Tokens.clear();
    }
    Report.Sequence = ++Host.Sequence;
    const std::uint64_t Run = Host.Incarnation;
    if (!Host.Partitioned)
      send([this, Number, Report, Run] { onTokenReport(Number, Run, Report); });
    Host.Tokens.sent(Report.Sequence);
  }

  void onTokenReport(unsigned Number, std::uint64_t Run,
                     const quota_report &Report) {
    ++Result.Messages;
    const host &Host = *Hosts[Number];
    if (!Leading || Run != Host.Incarnation)
      return;
    const auto Grant =
        Ledger->answerTokens({nameOf(Number), Run}, Report, leaderNow());
    if (!Grant || Host.Partitioned)
      return;
    send([this, Number, Run, Sequence = Report.Sequence, Given = *Grant] {
      host &Receiver = *Hosts[Number];
      if (!reaches(Receiver, Run))
        return;
      Receiver.Tokens.answered(Sequence);
      Receiver.Quota->applyTokens(Sequence, Given, Now);
    });
  }

  static bool reaches(const host &Host, std::uint64_t Run) {
    return Host.Up && !Host.Partitioned && Host.Incarnation == Run;
  }

  void onReport(unsigned Number, std::uint64_t Run, const quota_report &Report,
                mono_time Sent) {
    ++Result.Messages;
    host &Host = *Hosts[Number];
    const lease_times Times;
    if (!Leading || Run != Host.Incarnation)
      return;
    if (Host.AnsweredRun != 0 && Host.AnsweredRun != Run &&
        leaderNow() - Host.LastAnswered <= Times.withDrift(Times.HostLease))
      return;
    Host.AnsweredRun = Run;
    Host.LastAnswered = leaderNow();
    const auto Grant = Ledger->answer({nameOf(Number), Run}, Report, Accounts,
                                      Registered, leaderNow());
    if (!Grant || Host.Partitioned)
      return;
    send([this, Number, Run, Report, Sent, Given = *Grant] {
      host &Receiver = *Hosts[Number];
      if (!reaches(Receiver, Run))
        return;
      Receiver.Schedule.answered(Report.Sequence, Now);
      Receiver.Tokens.answered(Report.Sequence);
      if (Receiver.Quota->apply(Report.Sequence, Given,
                                Sent + lease_times().HostLease, Now))
        Receiver.Schedule.want(Now);
    });
  }

  void arrive(milliseconds Time) {
    if (Plan.Pause.count() > 0 && (Time / Plan.Pause) % 2 == 0)
      return;
    for (unsigned Account = 0; Account < Plan.Accounts; ++Account) {
      const bool First = Account == 0 && Plan.FirstOfferedLoad > 0;
      const double Load = First ? Plan.FirstOfferedLoad : Plan.OfferedLoad;
      std::poisson_distribution<unsigned> Count(Plan.Rate * Load / 1000);
      for (unsigned Left = Count(Random); Left > 0; --Left)
        arriveAt(chooseHost(Time), Account, Time);
    }
  }

  unsigned chooseHost(milliseconds Time) {
    unsigned Number =
        static_cast<unsigned>(Time / Plan.HotHostInterval) % Plan.Hosts;
    if (randomFraction() >= Plan.HotFraction)
      Number =
          std::uniform_int_distribution<unsigned>(0, Plan.Hosts - 1)(Random);
    while (!Hosts[Number]->Up) // The load balancer skips stopped hosts.
      Number = (Number + 1) % Plan.Hosts;
    return Number;
  }

  void arriveAt(unsigned Number, unsigned Account, milliseconds Time) {
    host &Host = *Hosts[Number];
    ++Result.Arrived;
    account_bucket &Bucket = Host.Quota->bucket(Accounts[Account].Name);
    if (Bucket.admitArrival(Now)) {
      recordAdmission(Account, Now);
    } else if (Bucket.beginWait(Now, MaxWait)) {
      Host.Waiting[Account].push_back({Now, Now + MaxWait});
      Host.Quota->requestTokens();
    } else {
      recordRefusal(Account, Time);
    }
  }

  void serve(unsigned Number, milliseconds Time) {
    host &Host = *Hosts[Number];
    if (!Host.Up)
      return;
    for (unsigned Account = 0; Account < Plan.Accounts; ++Account)
      if (!Host.Waiting[Account].empty())
        serveWaiting(Host, Account, Time);
    if (Plan.FixedShares)
      return;
    if (Now >= Host.Schedule.due())
      sendHeartbeat(Number);
    else if (Host.Tokens.due())
      sendTokenRequest(Number);
  }

  void serveWaiting(host &Host, unsigned Account, milliseconds Time) {
    account_bucket &Bucket = Host.Quota->bucket(Accounts[Account].Name);
    std::deque<waiting_request> &Waiting = Host.Waiting[Account];
    while (!Waiting.empty()) {
      waiting_request &Next = Waiting.front();
      const bool Admitted = Bucket.admitWaiting(Now);
      // As in http/account_admission, MaxWait counts from the leader's answer.
      if (!Bucket.isDecided(Now) || !Bucket.answeredSince(Next.ArrivedAt))
        Next.WaitsUntil =
            std::min(Next.ArrivedAt + Plan.MaxUndecidedWait, Now + MaxWait);
      if (!Admitted && Now < Next.WaitsUntil)
        break;
      Admitted ? recordAdmission(Account, Next.ArrivedAt)
               : recordRefusal(Account, Time);
      Waiting.pop_front();
      Bucket.endWait();
    }
    if (!Waiting.empty() && Time % PollInterval == milliseconds(0))
      Host.Quota->requestTokens();
  }

  //! Takes a token from the reference bucket. It has a token for every
  //! admission if and only if no window W has more than rate * W + burst
  //! admissions.
  void recordAdmission(unsigned Account, mono_time ArrivedAt) {
    ++Result.Admitted;
    reference_bucket &Reference = References[Account];
    const std::chrono::duration<double> Elapsed = Now - Reference.At;
    const double ClockSpeed = std::max(1.0, Plan.LeaderClockSpeed);
    Reference.Tokens =
        std::min(Plan.Burst,
                 Reference.Tokens + Plan.Rate * ClockSpeed * Elapsed.count());
    Reference.At = Now;
    Reference.Tokens -= 1;
    Result.MinReserve = std::min(Result.MinReserve, Reference.Tokens);
    if (Account > 0 || Plan.FirstOfferedLoad == 0)
      Result.Waits.push_back(static_cast<unsigned>(
          std::chrono::duration_cast<milliseconds>(Now - ArrivedAt).count()));
  }
  void recordRefusal(unsigned Account, milliseconds Time) {
    ++Result.Refused;
    ++Result.RefusedOfAccount[Account];
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
  std::vector<client_account> Accounts;
  std::vector<reference_bucket> References; //!< By account.
  simulation_result Result;
};

} // namespace pomelo

#endif
