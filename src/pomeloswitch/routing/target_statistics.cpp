#include "pomeloswitch/routing/target_statistics.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! Weight of the latest observation in a moving average.
constexpr double NewestWeight = 0.2;
//! Latency assumed for a target that has not answered yet.
constexpr double DefaultSeconds = 0.05;
//! Weight of the failure rate in the score: a target that fails every request
//! scores 1 + FailureWeight times worse.
constexpr double FailureWeight = 6;
constexpr unsigned MaxBackoffDoublings = 4;

double movingAverage(double Old, double New) {
  return Old + NewestWeight * (New - Old);
}

void updateAverage(double &Average, double New) {
  Average = Average == 0 ? New : movingAverage(Average, New);
}

} // namespace

std::string target_statistics::recordKey(const routing_target &Target) {
  return fmt::format("{}#{}", Target.Member.TargetId,
                     Target.Member.Incarnation);
}

const target_statistics::record *
target_statistics::find(const routing_target &Target) const {
  const auto Found = Records.find(recordKey(Target));
  return Found == Records.end() ? nullptr : &Found->second;
}

target_statistics::record &
target_statistics::recordOf(const routing_target &Target) {
  record &Record = Records[recordKey(Target)];
  if (Record.Window == 0) {
    Record.Load.Slots = std::max<std::uint32_t>(1, Target.Member.Slots);
    Record.Window = Record.Load.Slots;
  }
  return Record;
}

void target_statistics::recordSend(const routing_target &Target,
                                   time_point Now) {
  record &Record = recordOf(Target);
  if (Record.InFlight == 0)
    Record.NoResponseSince = Now;
  ++Record.InFlight;
  Record.SentAt = Now;
}

void target_statistics::recordUnreachable(const routing_target &Target,
                                          time_point Now) {
  record &Record = recordOf(Target);
  Record.ConnectionLostAt = Now;
  backOff(Record, Limits.LostBackoff, Now);
  ++Record.Failures;
}

//! All entry hosts observe the same queue at the target, so their windows
//! shrink and grow together until the queue is short.
void target_statistics::adjustWindow(record &Record, bool Room) const {
  if (Room)
    Record.Window += Limits.WindowIncrease;
  else
    Record.Window *= Limits.WindowDecrease;
  const double Largest = 1.5 * Record.Load.Slots + 1;
  Record.Window = std::clamp(Record.Window, Limits.MinWindow, Largest);
}

//! A slow target, a lost network path and a hung process cannot be told apart
//! at first: in each case no response arrives.
bool target_statistics::isUnresponsive(const record &Record,
                                       time_point Now) const {
  if (Record.InFlight == 0)
    return false;
  const std::chrono::duration<double> Unanswered = Now - Record.NoResponseSince;
  const std::chrono::duration<double> Minimum = Limits.MinUnresponsiveTime;
  return Unanswered.count() >
         Minimum.count() + Limits.UnresponsiveLatencies * Record.AverageSeconds;
}

double target_statistics::windowOf(const record &Record, bool Bounded) {
  return Bounded ? std::max(1.0, Record.Window) : Record.Window;
}

bool target_statistics::hasRoom(const routing_target &Target, time_point Now,
                                bool Bounded) const {
  const record *Record = find(Target);
  if (!Record || Record->Window == 0)
    return true;
  if (isUnresponsive(*Record, Now))
    return false;
  const double Window = windowOf(*Record, Bounded);
  if (Record->InFlight > 0)
    return Record->InFlight + 1 <= Window;
  const std::chrono::duration<double> Since = Now - Record->SentAt;
  return Window >= 1 ||
         Since.count() >=
             std::max(DefaultSeconds, Record->AverageSeconds) / Window;
}

void target_statistics::backOff(record &Record, milliseconds BaseBackoff,
                                time_point Now) {
  const unsigned Doublings = std::min(Record.Failures, MaxBackoffDoublings);
  const auto Backoff = std::min(Limits.MaxBackoff,
                                milliseconds(BaseBackoff.count() << Doublings));
  Record.BackoffUntil = std::max(Record.BackoffUntil, Now + Backoff);
}

bool target_statistics::resetByFullTarget(const routing_target &Target,
                                          const record &Record,
                                          time_point Now) {
  return FullTargets.recordReset(Target.Member.Service, recordKey(Target),
                                 {Record.Load.Running + Record.Load.Waiting,
                                  Record.Load.Slots,
                                  Now - Record.LoadReportedAt},
                                 Now);
}

void target_statistics::recordOutcome(const routing_target &Target,
                                      send_outcome Outcome,
                                      std::chrono::nanoseconds Latency,
                                      time_point Now) {
  record &Record = recordOf(Target);
  if (Record.InFlight > 0)
    --Record.InFlight;
  if (Outcome == send_outcome::Inconclusive)
    return;
  Record.FailureShare = movingAverage(
      Record.FailureShare, Outcome == send_outcome::Answered ? 0 : 1);
  const std::chrono::duration<double> Seconds = Latency;
  switch (Outcome) {
  case send_outcome::Answered:
    FullTargets.recordAnswer(Target.Member.Service, recordKey(Target),
                             Now - Latency, Now);
    Record.Failures = 0;
    Record.AnsweredAt = Now;
    Record.NoResponseSince = Now;
    updateAverage(Record.AverageSeconds, Seconds.count());
    if (Record.Load.Waiting == 0)
      updateAverage(Record.UnqueuedSeconds, Seconds.count());
    return;
  case send_outcome::Shed:
    Record.NoResponseSince = Now;
    Record.BackoffUntil =
        std::max(Record.BackoffUntil, Now + Limits.ShedBackoff);
    adjustWindow(Record, false);
    return;
  case send_outcome::Lost:
    if (resetByFullTarget(Target, Record, Now)) {
      Record.NoResponseSince = Now;
      Record.Window =
          std::max(Limits.MinWindow, Limits.FullDecrease * Record.Window);
      backOff(Record, Limits.FullBackoff, Now);
      ++Record.Failures;
      return;
    }
    Record.ConnectionLostAt = Now;
    backOff(Record, Limits.LostBackoff, Now);
    ++Record.Failures;
    return;
  case send_outcome::Silent:
    adjustWindow(Record, false);
    // A target that answered other requests meanwhile is slow, not
    // unresponsive.
    if (Record.AnsweredAt > Now - Latency)
      return;
    backOff(Record, Limits.SilentBackoff, Now);
    ++Record.Failures;
    return;
  case send_outcome::Failed:
  case send_outcome::Inconclusive:
    return;
  }
}

void target_statistics::recordLoad(const routing_target &Target,
                                   const reported_load &Load, time_point Now) {
  record &Record = recordOf(Target);
  Record.Load = Load;
  adjustWindow(Record, Load.Waiting <= Limits.WaitingPerSlot * Load.Slots);
  Record.ExternalLoad =
      std::max(0.0, Load.Running + Load.Waiting - Record.InFlight);
  Record.LoadReportedAt = Now;
}

bool target_statistics::usable(const routing_target &Target,
                               time_point Now) const {
  const record *Record = find(Target);
  return !Record || Now >= Record->BackoffUntil;
}

bool target_statistics::mayBeCold(const routing_target &Target,
                                  time_point Now) const {
  const record *Record = find(Target);
  return Record && Record->ConnectionLostAt != time_point() &&
         Now < Record->ConnectionLostAt + Limits.ColdSuspicion;
}

std::chrono::duration<double>
target_statistics::expectedWait(const routing_target &Target, std::size_t Ahead,
                                bool Bounded) const {
  const record *Record = find(Target);
  if (!Record || Record->Window == 0)
    return {};
  const double Average = std::max(DefaultSeconds, Record->AverageSeconds);
  return std::chrono::duration<double>(static_cast<double>(Ahead) * Average /
                                       windowOf(*Record, Bounded));
}

std::chrono::duration<double>
target_statistics::untilNextSend(const routing_target &Target, time_point Now,
                                 bool Bounded) const {
  const record *Record = find(Target);
  if (!Record || Record->Window == 0)
    return {};
  const std::chrono::duration<double> Backoff =
      std::max(time_point::duration(0), Record->BackoffUntil - Now);
  const double Window = windowOf(*Record, Bounded);
  if (Window >= 1 || Record->InFlight > 0)
    return Backoff;
  const std::chrono::duration<double> Spacing(
      std::max(DefaultSeconds, Record->AverageSeconds) / Window);
  const std::chrono::duration<double> Since = Now - Record->SentAt;
  return std::max(Backoff, Spacing - Since);
}

double target_statistics::throughput(const routing_target &Target) const {
  const record *Record = find(Target);
  if (!Record || Record->Window == 0)
    return std::max<std::uint32_t>(1, Target.Member.Slots) / DefaultSeconds;
  return Record->Window / std::max(DefaultSeconds, Record->AverageSeconds);
}

double target_statistics::score(const routing_target &Target,
                                time_point Now) const {
  const double Slots = std::max<std::uint32_t>(1, Target.Member.Slots);
  const record *Record = find(Target);
  if (!Record)
    return DefaultSeconds / Slots;
  const std::chrono::duration<double> Age = Now - Record->LoadReportedAt;
  const std::chrono::duration<double> DecayTime = Limits.LoadDecayTime;
  const double Freshness = std::exp(-Age.count() / DecayTime.count());
  const double Outstanding =
      Record->InFlight + Record->ExternalLoad * Freshness;
  const double Slowdown = 1 + (Record->Load.Slowdown - 1) * Freshness;
  const double Average =
      Record->AverageSeconds == 0 ? DefaultSeconds : Record->AverageSeconds;
  const double Rounds =
      std::max(1.0, (Outstanding + 1) / Slots) + 0.1 * Outstanding;
  return Average * Slowdown * Rounds *
         (1 + FailureWeight * Record->FailureShare);
}

std::map<std::string, double> target_statistics::unqueuedLatencies() const {
  std::map<std::string, double> Latencies;
  for (const auto &[Key, Record] : Records)
    if (Record.UnqueuedSeconds > 0)
      Latencies[Key.substr(0, Key.rfind('#'))] = Record.UnqueuedSeconds;
  return Latencies;
}

void target_statistics::retain(const routing_view &View) {
  std::erase_if(Records, [&View](const auto &Entry) {
    const auto Id = Entry.first.substr(0, Entry.first.rfind('#'));
    const auto Target = View.Targets.find(Id);
    return Entry.second.InFlight == 0 &&
           (Target == View.Targets.end() ||
            recordKey(*Target->second) != Entry.first);
  });
}

} // namespace pomelo
