#include "judge/violations.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace pomelo::judge {
namespace {

using caller::outcome;

constexpr std::size_t MaxExamples = 3;
constexpr double MicrosecondsPerSecond = 1e6;
//! Requests admitted at about the same time may start in a different order.
constexpr double RateSlackRequests = 2;

void addViolation(finding &Finding, std::string Example,
                  std::uint64_t Times = 1) {
  Finding.Count += Times;
  if (Finding.Examples.size() < MaxExamples)
    Finding.Examples.push_back(std::move(Example));
}

using executions = std::vector<const execution *>;

void sortByStart(executions &Items) {
  std::sort(Items.begin(), Items.end(),
            [](const auto *Left, const auto *Right) {
              return Left->StartUs < Right->StartUs;
            });
}

//! Returns the executions by service and slot, ordered by start time.
std::map<std::pair<std::string, std::uint32_t>, executions>
groupBySlot(const journal &Journal) {
  std::map<std::pair<std::string, std::uint32_t>, executions> Slots;
  for (const execution &Execution : Journal.Executions)
    if (Execution.Slot)
      Slots[{Execution.Service, *Execution.Slot}].push_back(&Execution);
  for (auto &[Slot, Items] : Slots)
    sortByStart(Items);
  return Slots;
}

std::map<std::string_view, executions> groupByRequest(const journal &Journal) {
  std::map<std::string_view, executions> Requests;
  for (const execution &Execution : Journal.Executions)
    Requests[Execution.RequestId].push_back(&Execution);
  return Requests;
}

std::string describe(const execution &Execution) {
  return fmt::format("{} at {} for {}", Execution.RequestId, Execution.Target,
                     Execution.Path);
}

void findOverlaps(const evidence &Evidence, finding &Finding) {
  for (const auto &[Slot, Items] : groupBySlot(Evidence.Journal)) {
    const execution *LatestEnding = nullptr;
    for (const execution *Each : Items) {
      if (LatestEnding && LatestEnding->Target != Each->Target &&
          Each->StartUs < LatestEnding->EndUs)
        addViolation(Finding,
                     fmt::format("slot {}: {} while {}", Slot.second,
                                 describe(*Each), describe(*LatestEnding)));
      if (!LatestEnding || Each->EndUs > LatestEnding->EndUs)
        LatestEnding = Each;
    }
  }
}

void findReversedTokens(const evidence &Evidence, finding &Finding) {
  for (const auto &[Slot, Items] : groupBySlot(Evidence.Journal)) {
    std::uint64_t Highest = 0;
    for (const execution *Each : Items) {
      if (Each->Token < Highest)
        addViolation(Finding, fmt::format("slot {}: token {} after {}",
                                          Slot.second, Each->Token, Highest));
      Highest = std::max(Highest, Each->Token);
    }
  }
}

void findDuplicates(const evidence &Evidence, finding &Finding) {
  const auto Requests = groupByRequest(Evidence.Journal);
  for (const outcome &Outcome : Evidence.Outcomes) {
    if (Outcome.Request.Idempotent)
      continue;
    const auto Found = Requests.find(Outcome.Request.Id);
    if (Found != Requests.end() && Found->second.size() > 1)
      addViolation(Finding, fmt::format("{} ran {} times", Outcome.Request.Id,
                                        Found->second.size()));
  }
}

void findLostAcknowledged(const evidence &Evidence, finding &Finding) {
  const auto Requests = groupByRequest(Evidence.Journal);
  for (const outcome &Outcome : Evidence.Outcomes)
    if (Outcome.answered() && !Requests.contains(Outcome.Request.Id))
      addViolation(Finding, Outcome.Request.Id);
}

void findUntrueNotRun(const evidence &Evidence, finding &Finding) {
  const auto Requests = groupByRequest(Evidence.Journal);
  for (const outcome &Outcome : Evidence.Outcomes)
    if (Outcome.RunState == "not_run" && Requests.contains(Outcome.Request.Id))
      addViolation(Finding,
                   fmt::format("{}: {}", Outcome.Request.Id, Outcome.Error));
}

void findWrongAnswers(const evidence &Evidence, finding &Finding) {
  for (const outcome &Outcome : Evidence.Outcomes)
    if (Outcome.Mismatched)
      addViolation(Finding, Outcome.Request.Id);
}

void findWorkAfterDrain(const evidence &Evidence, finding &Finding) {
  const auto Grace =
      std::chrono::duration_cast<std::chrono::microseconds>(DrainGrace).count();
  for (const drain &Drain : Evidence.Drains)
    for (const execution &Each : Evidence.Journal.Executions)
      if (Drain.Targets.contains(Each.Target) &&
          Each.StartUs > Drain.FromUs + Grace && Each.StartUs < Drain.ToUs)
        addViolation(Finding, describe(Each));
}

void findForeignAccounts(const evidence &Evidence, finding &Finding) {
  const auto Requests = groupByRequest(Evidence.Journal);
  for (const outcome &Outcome : Evidence.Outcomes) {
    const auto Found = Requests.find(Outcome.Request.Id);
    if (Found == Requests.end())
      continue;
    for (const execution *Each : Found->second)
      if (Each->Account != Outcome.Request.Account)
        addViolation(Finding,
                     fmt::format("{} sent by \"{}\", run for \"{}\"",
                                 Outcome.Request.Id, Outcome.Request.Account,
                                 Each->Account));
  }
}

void findCredentials(const evidence &Evidence, finding &Finding) {
  for (const execution &Each : Evidence.Journal.Executions)
    if (Each.ReceivedCredential)
      addViolation(Finding, describe(Each));
}

//! Replays a token bucket over the start times. A request counts once,
//! regardless of its number of attempts.
void findOverRate(const evidence &Evidence, finding &Finding) {
  std::map<std::string, std::map<std::string_view, std::int64_t>> Starts;
  for (const execution &Each : Evidence.Journal.Executions)
    Starts[Each.Account].emplace(Each.RequestId, Each.StartUs);
  for (const auto &[Account, Rate] : Evidence.Rates) {
    std::vector<std::int64_t> Times;
    for (const auto &[Id, StartUs] : Starts[Account])
      Times.push_back(StartUs);
    std::sort(Times.begin(), Times.end());
    double Tokens = Rate.Burst + RateSlackRequests;
    const double Capacity = Tokens;
    for (std::size_t Number = 0; Number < Times.size(); ++Number) {
      if (Number > 0)
        Tokens = std::min(
            Capacity,
            Tokens + static_cast<double>(Times[Number] - Times[Number - 1]) *
                         Rate.PerSecond / MicrosecondsPerSecond);
      if (Tokens >= 1)
        Tokens -= 1;
      else
        addViolation(Finding,
                     fmt::format("{} at {} us", Account, Times[Number]));
    }
  }
}

void findConnectionBreaches(const evidence &Evidence, finding &Finding) {
  if (Evidence.Journal.ConnectionBreaches > 0)
    addViolation(Finding, "see the targets' journals",
                 Evidence.Journal.ConnectionBreaches);
}

struct check {
  std::string_view Name;
  void (*Find)(const evidence &, finding &);
};

constexpr check Checks[] = {
    {"owners_overlapping", findOverlaps},
    {"tokens_reversed", findReversedTokens},
    {"duplicate_executions", findDuplicates},
    {"lost_acknowledged", findLostAcknowledged},
    {"untrue_not_run", findUntrueNotRun},
    {"wrong_answers", findWrongAnswers},
    {"work_after_drain", findWorkAfterDrain},
    {"foreign_account", findForeignAccounts},
    {"credential_at_target", findCredentials},
    {"over_rate", findOverRate},
    {"connection_breaches", findConnectionBreaches},
};

} // namespace

std::vector<finding> findViolations(const evidence &Evidence) {
  std::vector<finding> Findings;
  for (const check &Check : Checks) {
    finding Finding;
    Finding.Name = Check.Name;
    Check.Find(Evidence, Finding);
    Findings.push_back(std::move(Finding));
  }
  return Findings;
}

} // namespace pomelo::judge
