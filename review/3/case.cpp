//! A liveness report of another writer, with a service that no configuration
//! names.
#include "../harness/client.hpp"
#include "../harness/deployment.hpp"
#include "../harness/endpoint.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace pomelo::review;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using endpoint_list = std::vector<std::unique_ptr<endpoint>>;

constexpr std::uint32_t KeyCount = 65536;
//! Longer than this two endpoints must not hold the same keys (OWNER).
constexpr std::chrono::duration<double> MostShared{0.5};

deployment_plan threePlaces() {
  deployment_plan Plan;
  Plan.Zones = {"hr-central-a", "hr-central-b", "hr-central-c"};
  Plan.CoreZones = Plan.Zones;
  Plan.FrontZones = Plan.Zones;
  Plan.Bounds = smallBounds();
  return Plan;
}

bool heldBetween(const endpoint_list &Endpoints) {
  std::vector<bool> Held(KeyCount);
  const auto Now = clock::now();
  for (const auto &Endpoint : Endpoints)
    for (const held_span &Span : Endpoint->holdings())
      if (Span.Until > Now)
        std::fill(Held.begin() + Span.From, Held.begin() + Span.To + 1, true);
  return std::find(Held.begin(), Held.end(), false) == Held.end();
}

void sendForeignReport(deployment &Deployment, const endpoint &Beside) {
  const auto Now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const boost::json::object Report{
      {"address", Beside.address()},
      {"born", Now.count()},
      {"information", boost::json::object{{"service", "agent-of-the-host"},
                                          {"version", "v1"},
                                          {"zone", Beside.plan().Zone},
                                          {"slots", 1}}},
      {"status", boost::json::object{{"state", "ready"},
                                     {"sequence", 1},
                                     {"cold_remaining_s", 0}}}};
  const std::string Text = boost::json::serialize(Report);
  Deployment.log().write("other writer", "sends " + Text);
  const auto Answer = Deployment.callControl(
      "POST", "/pomeloswitch/Instances.Heartbeat/x-0c11", Text, seconds(3));
  Deployment.log().write("other writer",
                         Answer ? "gets " + Answer->StartLine : "no answer");
}

std::string describe(const endpoint &Left, const endpoint &Right,
                     const held_span &Shared, const record &Record) {
  return "OWNER: " + Left.plan().Id + " and " + Right.plan().Id +
         " both hold keys " + std::to_string(Shared.From) + " to " +
         std::to_string(Shared.To) + " from " +
         std::to_string(Record.seconds(Shared.Since)) + " to " +
         std::to_string(Record.seconds(Shared.Until));
}

//! Whether two endpoints held the same keys for longer than is allowed.
bool sharedTooLong(const endpoint &Left, const endpoint &Right,
                   record &Record) {
  bool Found = false;
  for (const held_span &One : Left.holdings())
    for (const held_span &Other : Right.holdings()) {
      const held_span Shared{
          std::max(One.From, Other.From), std::min(One.To, Other.To), 0,
          std::max(One.Since, Other.Since), std::min(One.Until, Other.Until)};
      if (Shared.From > Shared.To || Shared.Until - Shared.Since <= MostShared)
        continue;
      Record.write("judge", describe(Left, Right, Shared, Record));
      Found = true;
    }
  return Found;
}

bool play(record &Record) {
  deployment Deployment(threePlaces(), Record);
  simple_configuration Configuration;
  Configuration.Sharded = true;
  Configuration.Kind = "safe";
  if (!Deployment.replaceConfiguration(configurationText(Configuration),
                                       seconds(10)) ||
      !Deployment.awaitReady(seconds(10)))
    throw std::runtime_error("the deployment did not become ready");
  endpoint_list Endpoints;
  for (const std::string &Zone : Deployment.plan().Zones)
    Endpoints.push_back(std::make_unique<endpoint>(
        endpoint_plan{"i-" + Zone, Configuration.Service, Zone,
                      Deployment.newIp(), 0, true},
        Deployment));
  const auto Deadline = clock::now() + seconds(15);
  while (!heldBetween(Endpoints) && clock::now() < Deadline)
    std::this_thread::sleep_for(milliseconds(100));
  if (!heldBetween(Endpoints))
    throw std::runtime_error("the endpoints were not granted all keys");
  std::this_thread::sleep_for(seconds(5));
  if (troubled())
    sendForeignReport(Deployment, *Endpoints.front());
  std::mt19937 Engine(KeyCount);
  std::uniform_int_distribution<std::uint32_t> Keys(0, KeyCount - 1);
  for (int Number = 0; Number < 60; ++Number) {
    client_request Request;
    Request.Id = "read-" + std::to_string(Number);
    Request.Method = "GET";
    Request.Body.clear();
    Request.Fields["X-Shard-Key"] = std::to_string(Keys(Engine));
    ask(Deployment, "front-" + std::to_string(Number % 3 + 1), Request);
  }
  bool Broken = false;
  for (std::size_t Left = 0; Left < Endpoints.size(); ++Left)
    for (std::size_t Right = Left + 1; Right < Endpoints.size(); ++Right)
      Broken |= sharedTooLong(*Endpoints[Left], *Endpoints[Right], Record);
  return !Broken;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
