//! A report of another writer lacks a field and names the address of an
//! endpoint that is up. The keys of that endpoint get second holders.
#include "../harness-2/deployment.hpp"
#include "../harness-2/endpoint.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace review;

constexpr unsigned EndpointCount = 6;
constexpr unsigned KeyCount = 65536;
constexpr unsigned KeyStep = 256;
constexpr double Allowed = 0.5; // seconds, by the rule
constexpr double WatchSeconds = 8;

using endpoint_list = std::vector<std::unique_ptr<endpoint>>;

//! Watches some keys and sums up how long each has two holders at a time.
class holder_watch {
public:
  holder_watch(record &Record, const endpoint_list &Endpoints)
      : Record(Record), Endpoints(Endpoints), Thread([this] { watch(); }) {}
  ~holder_watch() { stop(); }
  holder_watch(const holder_watch &) = delete;
  holder_watch &operator=(const holder_watch &) = delete;

  void stop() {
    Stopping = true;
    if (Thread.joinable())
      Thread.join();
  }
  //! The longest time in one piece that a key had two holders.
  [[nodiscard]] double longest() const { return Longest; }
  [[nodiscard]] std::size_t keys() const { return KeysWithTwo; }

private:
  void watch() {
    std::map<unsigned, seconds> Since;
    while (!Stopping) {
      for (unsigned Key = 0; Key < KeyCount; Key += KeyStep)
        look(Key, Since);
      sleepFor(0.005);
    }
  }
  void look(unsigned Key, std::map<unsigned, seconds> &Since) {
    std::string Holders;
    unsigned Count = 0;
    for (const auto &Endpoint : Endpoints)
      if (Endpoint->holds(Key)) {
        Holders += " " + Endpoint->options().Id;
        ++Count;
      }
    if (Count < 2) {
      Since.erase(Key);
      return;
    }
    const auto [Place, Began] = Since.try_emplace(Key, Record.now());
    if (Began) {
      ++KeysWithTwo;
      Record.line("key " + std::to_string(Key) + " is held by" + Holders);
    }
    Longest = std::max(Longest, Record.now() - Place->second);
  }

  record &Record;
  const endpoint_list &Endpoints;
  std::atomic<bool> Stopping{false};
  double Longest = 0;
  std::size_t KeysWithTwo = 0;
  std::thread Thread;
};

//! Like that of an endpoint that has just started at this address, but without
//! the field "version". KIND=type gives that field a number instead.
std::string foreignReport(const address &At) {
  const auto Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  const char *Kind = std::getenv("KIND");
  const bool WrongType = Kind && std::string(Kind) == "type";
  return R"({"born":)" + std::to_string(Born) + R"(,"address":")" + At.text() +
         R"(","information":{"service":"reports",)" +
         (WrongType ? R"("version":7,)" : "") +
         R"("zone":"zone-a","slots":2},"status":{"state":"ready",)" +
         R"("sequence":1,"cold_remaining_s":0}})";
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
  endpoint_list Endpoints;
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
  sleepFor(8);
  holder_watch Watch(Record, Endpoints);
  if (troubleWanted()) {
    const address To = Deployment.Controls[0].Calls;
    const std::string Report = foreignReport(Endpoints[0]->options().At);
    const auto Result =
        call(To,
             makeRequest("POST", "/pomeloswitch/Instances.Heartbeat/agent-1",
                         To.text(), Report),
             1);
    Record.say("another writer sends " + Report + " and gets " + Result.text());
  }
  sleepFor(WatchSeconds);
  Watch.stop();
  Stopping = true;
  Client.join();
  Record.say(std::to_string(Watch.keys()) + " of " +
             std::to_string(KeyCount / KeyStep) +
             " watched keys had two holders, the longest for " +
             std::to_string(Watch.longest()) + " s");
  if (Deployment.reportEnded() > 0)
    return verdict::CouldNotRun;
  return Watch.longest() > Allowed ? verdict::Broken : verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, "OWNER", play);
}
