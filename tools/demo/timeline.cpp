#include "demo/timeline.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <limits>
#include <stdexcept>
#include <thread>

namespace pomelo::demo {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char *KilledTarget = "archive-zg-a-1";
constexpr const char *KilledEntryHost = "zg-b-e1";
constexpr const char *DrainedDomain = "zg-b";
constexpr const char *CutDomain = "zg-c";
constexpr std::size_t MinControlHostsForLeaderLoss = 3;
constexpr milliseconds InterruptCheckInterval{50};

std::int64_t unixNowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void requireSuccess(const emulator::command_outcome &Outcome) {
  if (Outcome.ExitCode != 0)
    throw std::runtime_error(Outcome.Output);
}

} // namespace

const std::vector<timeline::step> &timeline::steps() {
  static const std::vector<step> Steps{
      {milliseconds(3000), "kill an archive target", &timeline::killTarget},
      {milliseconds(8000), "restart the target", &timeline::restartTarget},
      {milliseconds(10000), "kill an entry host", &timeline::killEntryHost},
      {milliseconds(12000), "restart the entry host",
       &timeline::restartEntryHost},
      {milliseconds(14000), "drain a failure domain", &timeline::drainDomain},
      {milliseconds(19000), "return the failure domain",
       &timeline::returnDomain},
      {milliseconds(21000), "kill the leader", &timeline::killLeader},
      {milliseconds(23000), "restart the former leader",
       &timeline::restartLeader},
      {milliseconds(25000), "cut a failure domain off", &timeline::cutDomain},
      {milliseconds(28000), "reconnect the failure domain",
       &timeline::healDomain}};
  return Steps;
}

void timeline::run(const std::atomic<bool> &Interrupted) {
  const auto Start = steady_clock::now();
  for (const step &Step : steps()) {
    while (!Interrupted && steady_clock::now() < Start + Step.At)
      std::this_thread::sleep_for(InterruptCheckInterval);
    if (Interrupted)
      return;
    fmt::print("{:5.1f} s  {}\n",
               std::chrono::duration<double>(Step.At).count(),
               Step.Description);
    std::fflush(stdout);
    (this->*Step.Action)();
  }
}

void timeline::killTarget() { Deployment.at(KilledTarget).Process->kill(); }

void timeline::restartTarget() { Deployment.restart(KilledTarget); }

void timeline::killEntryHost() {
  Deployment.at(KilledEntryHost).Process->kill();
}

void timeline::restartEntryHost() { Deployment.restart(KilledEntryHost); }

void timeline::drainDomain() {
  requireSuccess(Deployment.ctl({"domain", "out", DrainedDomain}));
  judge::drain Drain;
  for (const emulator::member *Target : Deployment.membersOf("target"))
    if (Target->FailureDomain == DrainedDomain)
      Drain.Targets.insert(Target->Id);
  Drain.FromUs = unixNowUs();
  Drain.ToUs = std::numeric_limits<std::int64_t>::max();
  Drains.push_back(std::move(Drain));
}

void timeline::returnDomain() {
  Drains.back().ToUs = unixNowUs();
  requireSuccess(Deployment.ctl({"domain", "in", DrainedDomain}));
}

void timeline::killLeader() {
  if (Deployment.membersOf("control").size() < MinControlHostsForLeaderLoss) {
    fmt::print("         skipped: fewer than 3 control hosts\n");
    return;
  }
  Leader = Deployment.status().at("leader").as_string();
  Deployment.at(Leader).Process->kill();
}

void timeline::restartLeader() {
  if (!Leader.empty())
    Deployment.restart(Leader);
}

void timeline::cutDomain() { Deployment.links().cutDomain(CutDomain); }

void timeline::healDomain() { Deployment.links().heal(); }

} // namespace pomelo::demo
