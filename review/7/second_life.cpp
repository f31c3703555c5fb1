//! An endpoint starts again at once under the id that it had; its new life is
//! granted keys with the generation number with which its former life had them.
#include "../harness-2/deployment.hpp"
#include "../harness-2/endpoint.hpp"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace review;

constexpr unsigned EndpointCount = 6;
constexpr double DownSeconds = 0.1;
constexpr double FirstReportAfter = 0.8; // heartbeat_interval_s is 0.87
constexpr double Pause = 6;
constexpr unsigned KeyCount = 65536;

//! The grants of keys to a later life with a generation number that is not
//! above that with which a former life had them.
std::vector<grant_event>
repeatedFences(const std::vector<grant_event> &Grants) {
  std::vector<grant_event> Found;
  for (const grant_event &Later : Grants)
    for (const grant_event &Earlier : Grants)
      if (Earlier.Born < Later.Born && Later.Fence <= Earlier.Fence &&
          Later.From <= Earlier.To && Earlier.From <= Later.To) {
        Found.push_back(Later);
        break;
      }
  return Found;
}

//! Requests that the endpoint ran within a second of a grant.
unsigned runsAfter(const grant_event &Grant, const std::string &Id,
                   const std::vector<run_event> &Runs) {
  return static_cast<unsigned>(
      std::count_if(Runs.begin(), Runs.end(), [&](const run_event &Run) {
        return Run.EndpointId == Id && Run.At >= Grant.At &&
               Run.At < Grant.At + 1;
      }));
}

//! A client that asks for one key after the other, every 20 ms.
void sendRequests(record &Record, const deployment &Deployment,
                  const std::atomic<bool> &Stopping) {
  for (unsigned Number = 0; !Stopping; ++Number) {
    const entry_machine &Entry =
        Deployment.Entries[Number % Deployment.Entries.size()];
    const std::string Id = "r" + std::to_string(Number);
    const unsigned Key = Number * 7919 % KeyCount;
    Record.line("client sends " + Id + " for key " + std::to_string(Key) +
                " to " + Entry.Name);
    const auto Result =
        call(Entry.Front,
             makeRequest("GET", "/reports/" + Id, "reports.example", {},
                         {{"X-Request-Id", Id},
                          {"X-Deadline-Milliseconds", "1500"},
                          {"X-Shard-Key", std::to_string(Key)},
                          {"Authorization", "Bearer key-of-tenant-1"}}),
             1.5);
    Record.line("client gets " + Result.text() + " for " + Id);
    sleepFor(0.02);
  }
}

verdict play(record &Record) {
  deployment Deployment(Record, 1);
  run_list Runs;
  Deployment.start();
  site_operator Operator(Record, Deployment);
  configuration Configuration;
  Configuration.Services = {{"reports", true}};
  Configuration.Routes = {{"reports", "safe", "reports", 1.5, 0.6, 2}};
  Configuration.KeyOfTenant = "key-of-tenant-1";
  if (!Operator.configure(Configuration))
    return verdict::CouldNotRun;
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  const std::uint16_t Port = freePort();
  for (unsigned Number = 0; Number < EndpointCount; ++Number) {
    const unsigned Zone = Number % 3;
    Endpoints.push_back(std::make_unique<endpoint>(
        Record, Deployment, Runs,
        endpoint_options{"i-" + std::to_string(Number),
                         "reports",
                         deployment::Zones[Zone],
                         {Deployment.ip(Zone, 100 + Number), Port},
                         2,
                         0.05,
                         true}));
    if (!Endpoints.back()->start())
      return verdict::CouldNotRun;
  }
  if (!Deployment.awaitReady(20))
    return verdict::CouldNotRun;
  std::atomic<bool> Stopping{false};
  std::thread Client([&] { sendRequests(Record, Deployment, Stopping); });
  sleepFor(Pause);
  for (const auto &Endpoint : Endpoints) {
    if (troubleWanted()) {
      Record.line("endpoint " + Endpoint->options().Id + " crashes");
      Endpoint->crash();
      sleepFor(DownSeconds);
      Endpoint->delayFirstReport(FirstReportAfter);
      Endpoint->restartAs(Endpoint->options().Id);
      Record.line("endpoint " + Endpoint->options().Id + " is back");
    }
    sleepFor(Pause);
  }
  Stopping = true;
  Client.join();
  unsigned Repeated = 0;
  unsigned Run = 0;
  for (const auto &Endpoint : Endpoints)
    for (const grant_event &Grant : repeatedFences(Endpoint->grants())) {
      ++Repeated;
      Run += runsAfter(Grant, Endpoint->options().Id, Runs.all());
    }
  Record.say(std::to_string(Repeated) +
             " grants gave keys to a later life with a generation number "
             "that a former life had had; within a second of them these lives "
             "ran " +
             std::to_string(Run) + " requests");
  if (Deployment.reportEnded() > 0)
    return verdict::CouldNotRun;
  return Repeated > 0 ? verdict::Broken : verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, "OWNER", play);
}
