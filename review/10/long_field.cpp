//! Requests with one long header field, within the limit of the configuration,
//! get no answer at all.
#include "../harness-2/deployment.hpp"
#include "../harness-2/endpoint.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace review;

constexpr unsigned MaxHeaderBytes = 131072;
constexpr std::size_t LongField = 70000;
constexpr std::size_t ShorterField = 60000; // Without trouble.
constexpr unsigned RequestCount = 12;
constexpr double TimeoutSeconds = 1.5; // timeout_s of the route
constexpr double WatchSeconds = 8;

//! Sends one request and waits for its answer. Returns whether it came within
//! half a second of the route's timeout.
bool sendRequest(record &Record, const entry_machine &Entry, unsigned Number,
                 std::size_t FieldBytes) {
  const std::string Id = "r" + std::to_string(Number);
  const auto Connection = tcp_connection::open(Entry.Front, 1);
  if (!Connection)
    return false;
  const seconds SentAt = Record.now();
  Record.line("client sends " + Id + " with a Cookie of " +
              std::to_string(FieldBytes) + " bytes to " + Entry.Name);
  Connection->write(
      serialize(makeRequest("GET", "/reports/" + Id, "reports.example", {},
                            {{"X-Request-Id", Id},
                             {"X-Deadline-Milliseconds", "6000"},
                             {"Authorization", "Bearer key-of-tenant-1"},
                             {"Cookie", std::string(FieldBytes, 'c')}})));
  const auto Answer = Connection->read(WatchSeconds);
  const double Took = Record.now() - SentAt;
  Record.line("client gets " +
              (Answer ? std::to_string(Answer->status())
               : Connection->ended()
                   ? std::string("a closed connection")
                   : std::string("nothing, the connection is open")) +
              " for " + Id + " after " + std::to_string(Took) + " s");
  return Answer && Took <= TimeoutSeconds + 0.5;
}

verdict play(record &Record) {
  const std::size_t FieldBytes = troubleWanted() ? LongField : ShorterField;
  deployment Deployment(Record, 1);
  run_list Runs;
  Deployment.start();
  site_operator Operator(Record, Deployment);
  configuration Configuration;
  Configuration.Services = {{"reports"}};
  Configuration.Routes = {
      {"reports", "safe", "reports", TimeoutSeconds, 0.6, 2}};
  Configuration.KeyOfTenant = "key-of-tenant-1";
  Configuration.MaxHeaderBytes = MaxHeaderBytes;
  if (!Operator.configure(Configuration))
    return verdict::CouldNotRun;
  std::vector<std::unique_ptr<endpoint>> Endpoints;
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
  sleepFor(5);

  std::vector<char> Answered(RequestCount, 0);
  std::vector<std::thread> Clients;
  for (unsigned Number = 0; Number < RequestCount; ++Number)
    Clients.emplace_back([&, Number] {
      const entry_machine &Entry =
          Deployment.Entries[Number % Deployment.Entries.size()];
      Answered[Number] = sendRequest(Record, Entry, Number, FieldBytes) ? 1 : 0;
    });
  for (std::thread &Client : Clients)
    Client.join();
  const auto Unanswered =
      static_cast<unsigned>(std::count(Answered.begin(), Answered.end(), 0));
  Record.say(std::to_string(Unanswered) + " of " +
             std::to_string(RequestCount) +
             " requests had no answer half a second after their timeout");
  if (Deployment.reportEnded() > 0)
    return verdict::Broken;
  constexpr unsigned Bound = 8;
  return Unanswered >= Bound ? verdict::Broken : verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, "CONFIG", play);
}
