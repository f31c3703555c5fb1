#include "pomeloswitch/routing/target_book.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! Weight of the latest observation in a moving average.
constexpr double Newest = 0.2;
//! Taken for a target that has not answered yet.
constexpr double UntriedSeconds = 0.05;
//! How much worse a target looks that fails every request.
constexpr double FailureWeight = 6;
constexpr unsigned MostDoublings = 4;

double average(double Old, double New) { return Old + Newest * (New - Old); }

void learn(double &Average, double New) {
  Average = Average == 0 ? New : average(Average, New);
}

} // namespace

std::string target_book::keyOf(const routing_target &Target) {
  return fmt::format("{}#{}", Target.Member.TargetId,
                     Target.Member.Incarnation);
}

const target_book::record *
target_book::find(const routing_target &Target) const {
  const auto Found = Records.find(keyOf(Target));
  return Found == Records.end() ? nullptr : &Found->second;
}

target_book::record &target_book::recordOf(const routing_target &Target) {
  record &Record = Records[keyOf(Target)];
  if (Record.Window == 0) {
    Record.Load.Slots = std::max<std::uint32_t>(1, Target.Member.Slots);
    Record.Window = Record.Load.Slots;
  }
  return Record;
}

void target_book::sent(const routing_target &Target, time_point Now) {
  record &Record = recordOf(Target);
  if (Record.InFlight == 0)
    Record.QuietSince = Now;
  ++Record.InFlight;
  Record.SentAt = Now;
}

void target_book::unreachable(const routing_target &Target, time_point Now) {
  record &Record = recordOf(Target);
  Record.BrokeAt = Now;
  leave(Record, Limits.LostPause, Now);
  ++Record.Failures;
}

//! All entry hosts see the same queue, so their windows shrink and grow
//! together until the queue is short.
void target_book::fitWindow(record &Record, bool Room) const {
  if (Room)
    Record.Window += Limits.WindowGrowth;
  else
    Record.Window *= Limits.WindowCut;
  const double Largest = 1.5 * Record.Load.Slots + 1;
  Record.Window = std::clamp(Record.Window, Limits.SmallestWindow, Largest);
}

//! A slow target, one behind a silent link and one that stands still look the
//! same at first: nothing comes back.
bool target_book::doubted(const record &Record, time_point Now) const {
  if (Record.InFlight == 0)
    return false;
  const std::chrono::duration<double> Quiet = Now - Record.QuietSince;
  const std::chrono::duration<double> Least = Limits.DoubtAfter;
  return Quiet.count() >
         Least.count() + Limits.DoubtUsualTimes * Record.UsualSeconds;
}

bool target_book::hasRoom(const routing_target &Target, time_point Now) const {
  const record *Record = find(Target);
  if (Record && doubted(*Record, Now))
    return false;
  if (!Record || Record->Window == 0 || Record->InFlight == 0) {
    if (!Record || Record->Window >= 1 || Record->Window == 0)
      return true;
    const std::chrono::duration<double> Since = Now - Record->SentAt;
    return Since.count() >=
           std::max(UntriedSeconds, Record->UsualSeconds) / Record->Window;
  }
  return Record->InFlight + 1 <= Record->Window;
}

void target_book::leave(record &Record, milliseconds Pause, time_point Now) {
  const unsigned Doublings = std::min(Record.Failures, MostDoublings);
  const auto Grown =
      std::min(Limits.LongestPause, milliseconds(Pause.count() << Doublings));
  Record.LeftUntil = std::max(Record.LeftUntil, Now + Grown);
}

void target_book::ended(const routing_target &Target, send_end How,
                        std::chrono::nanoseconds Took, time_point Now) {
  record &Record = recordOf(Target);
  if (Record.InFlight > 0)
    --Record.InFlight;
  if (How == send_end::Undecided)
    return;
  Record.FailureShare =
      average(Record.FailureShare, How == send_end::Answered ? 0 : 1);
  const std::chrono::duration<double> Seconds = Took;
  switch (How) {
  case send_end::Answered:
    Record.Failures = 0;
    Record.AnsweredAt = Now;
    Record.QuietSince = Now;
    learn(Record.UsualSeconds, Seconds.count());
    if (Record.Load.Waiting == 0)
      learn(Record.CleanSeconds, Seconds.count());
    return;
  case send_end::Shed:
    Record.QuietSince = Now;
    Record.LeftUntil = std::max(Record.LeftUntil, Now + Limits.ShedPause);
    fitWindow(Record, false);
    return;
  case send_end::Lost:
    Record.BrokeAt = Now;
    leave(Record, Limits.LostPause, Now);
    ++Record.Failures;
    return;
  case send_end::Silent:
    fitWindow(Record, false);
    // A target that has answered others meanwhile is slow, not silent.
    if (Record.AnsweredAt > Now - Took)
      return;
    leave(Record, Limits.SilentPause, Now);
    ++Record.Failures;
    return;
  case send_end::Failed:
  case send_end::Undecided:
    return;
  }
}

void target_book::told(const routing_target &Target, const told_load &Load,
                       time_point Now) {
  record &Record = recordOf(Target);
  Record.Load = Load;
  fitWindow(Record, Load.Waiting <= Limits.WaitingPerSlot * Load.Slots);
  Record.ToldOthers =
      std::max(0.0, Load.Running + Load.Waiting - Record.InFlight);
  Record.ToldAt = Now;
}

bool target_book::usable(const routing_target &Target, time_point Now) const {
  const record *Record = find(Target);
  return !Record || Now >= Record->LeftUntil;
}

bool target_book::doubtfullyWarm(const routing_target &Target,
                                 time_point Now) const {
  const record *Record = find(Target);
  return Record && Record->BrokeAt != time_point() &&
         Now < Record->BrokeAt + Limits.ColdDoubt;
}

std::chrono::duration<double>
target_book::expectedWait(const routing_target &Target,
                          std::size_t Ahead) const {
  const record *Record = find(Target);
  if (!Record || Record->Window == 0)
    return {};
  const double Usual = std::max(UntriedSeconds, Record->UsualSeconds);
  return std::chrono::duration<double>(static_cast<double>(Ahead) * Usual /
                                       Record->Window);
}

double target_book::score(const routing_target &Target, time_point Now) const {
  const double Slots = std::max<std::uint32_t>(1, Target.Member.Slots);
  const record *Record = find(Target);
  if (!Record)
    return UntriedSeconds / Slots;
  const std::chrono::duration<double> Age = Now - Record->ToldAt;
  const std::chrono::duration<double> Fades = Limits.LoadFades;
  const double Fresh = std::exp(-Age.count() / Fades.count());
  const double Before = Record->InFlight + Record->ToldOthers * Fresh;
  const double Slowdown = 1 + (Record->Load.Slowdown - 1) * Fresh;
  const double Usual =
      Record->UsualSeconds == 0 ? UntriedSeconds : Record->UsualSeconds;
  const double Rounds = std::max(1.0, (Before + 1) / Slots) + 0.1 * Before;
  return Usual * Slowdown * Rounds * (1 + FailureWeight * Record->FailureShare);
}

std::map<std::string, double> target_book::speeds() const {
  std::map<std::string, double> Speeds;
  for (const auto &[Key, Record] : Records)
    if (Record.CleanSeconds > 0)
      Speeds[Key.substr(0, Key.rfind('#'))] = Record.CleanSeconds;
  return Speeds;
}

void target_book::retain(const routing_view &View) {
  std::erase_if(Records, [&View](const auto &Entry) {
    const auto Id = Entry.first.substr(0, Entry.first.rfind('#'));
    const auto Target = View.Targets.find(Id);
    return Entry.second.InFlight == 0 &&
           (Target == View.Targets.end() ||
            keyOf(*Target->second) != Entry.first);
  });
}

} // namespace pomelo
