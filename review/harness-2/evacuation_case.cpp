#include "evacuation_case.hpp"

#include "endpoint.hpp"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr double EvacuationDeadline = 5; // evacuation_deadline_s
constexpr double OuterBound = 5;         // outer_bound_s
constexpr double Contact = 3;            // contact_s
constexpr double WatchSeconds = 10;
constexpr double OrderSeconds = 4; // ack_deadline_s
const std::string StartOrder = "/pomeloswitch/Evacuation.Start/zone-a";
const std::string FinishOrder = "/pomeloswitch/Evacuation.Finish/zone-a";

//! A client that sends a request every 50 ms, to each entry machine in turn.
class steady_client {
public:
  steady_client(record &Record, const deployment &Deployment)
      : Record(Record), Deployment(Deployment),
        Thread([this] { sendRequests(); }) {}
  ~steady_client() {
    Stopping = true;
    Thread.join();
  }
  steady_client(const steady_client &) = delete;
  steady_client &operator=(const steady_client &) = delete;

private:
  void sendRequests() {
    for (unsigned Number = 0; !Stopping; ++Number) {
      const entry_machine &Entry =
          Deployment.Entries[Number % Deployment.Entries.size()];
      const std::string Id = "r" + std::to_string(Number);
      Record.line("client sends " + Id + " to " + Entry.Name);
      const auto Result =
          call(Entry.Front,
               makeRequest("GET", "/reports/" + Id, "reports.example", {},
                           {{"X-Request-Id", Id},
                            {"X-Deadline-Milliseconds", "1500"},
                            {"Authorization", "Bearer key-of-tenant-1"}}),
               1.5);
      Record.line("client gets " + Result.text() + " for " + Id);
      sleepFor(0.05);
    }
  }

  record &Record;
  const deployment &Deployment;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace

verdict runEvacuationCase(record &Record, deployment &Deployment,
                          const control_trouble &Trouble) {
  const bool Troubled = troubleWanted();
  run_list Runs;
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  Deployment.start();
  site_operator Operator(Record, Deployment);
  configuration Configuration;
  Configuration.Services = {{"reports"}};
  Configuration.Routes = {{"reports", "safe", "reports", 1.5, 0.6, 2}};
  Configuration.KeyOfTenant = "key-of-tenant-1";
  if (!Operator.configure(Configuration))
    return verdict::CouldNotRun;
  const std::uint16_t Port = freePort();
  for (unsigned Number = 0; Number < 6; ++Number) {
    const unsigned Zone = Number % 3;
    Endpoints.push_back(std::make_unique<endpoint>(
        Record, Deployment, Runs,
        endpoint_options{"i-" + std::to_string(Number),
                         "reports",
                         deployment::Zones[Zone],
                         {Deployment.ip(Zone, 100 + Number), Port}}));
    if (!Endpoints.back()->start())
      return verdict::CouldNotRun;
  }
  if (!Deployment.awaitReady(20))
    return verdict::CouldNotRun;
  const steady_client Client(Record, Deployment);
  sleepFor(4);

  const auto Leader = Deployment.leader();
  if (!Leader)
    return verdict::CouldNotRun;
  const std::size_t Machine = (*Leader + 1) % 3;
  const std::size_t Third = (*Leader + 2) % 3;
  Record.say("control machine " + std::to_string(*Leader) + " leads");
  if (!Operator.order("POST", StartOrder, {}, {Third, *Leader}, OrderSeconds))
    return verdict::CouldNotRun;
  Record.say("first evacuation of zone-a confirmed");
  sleepFor(3);

  const seconds BeginAt = Record.now();
  if (Troubled) {
    Record.say("control machine " + std::to_string(Machine) + " " +
               Trouble.What);
    Trouble.Begin(Machine);
  }
  sleepFor(0.1);
  if (!Operator.order("POST", FinishOrder, {}, {Machine, Third, *Leader},
                      OrderSeconds))
    return verdict::CouldNotRun;
  Record.say("end of the first evacuation confirmed");
  sleepFor(0.5);
  const auto Second =
      Operator.order("POST", StartOrder, {}, {Third, *Leader}, OrderSeconds);
  if (!Second)
    return verdict::CouldNotRun;
  Record.say("second evacuation of zone-a confirmed");
  sleepUntil(Record, BeginAt + Trouble.Seconds);
  const seconds EndAt = Record.now();
  if (Troubled) {
    Trouble.End(Machine);
    Record.say("the trouble of control machine " + std::to_string(Machine) +
               " is over");
  }

  // All machines are in touch again, and the bound of the evacuation has
  // passed, stretched by the longest that an unstable core allows.
  const seconds JudgedFrom = std::max(
      EndAt + Contact + 0.5, *Second + EvacuationDeadline + OuterBound);
  sleepUntil(Record, JudgedFrom + WatchSeconds);
  unsigned InZone = 0;
  unsigned Elsewhere = 0;
  for (const run_event &Event : Runs.all())
    if (Event.At > JudgedFrom)
      ++(Event.Zone == "zone-a" ? InZone : Elsewhere);
  Record.say("from " + std::to_string(JudgedFrom) +
             " on, endpoints in zone-a got " + std::to_string(InZone) +
             " requests, others " + std::to_string(Elsewhere));
  if (Deployment.reportEnded() > 0 || InZone + Elsewhere == 0)
    return verdict::CouldNotRun;
  return InZone > 0 ? verdict::Broken : verdict::Held;
}

} // namespace review
