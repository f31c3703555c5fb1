//! As many machines with a disk as may be lost at once lose their disks right
//! after a configuration was acknowledged.
#include "../harness/client.hpp"
#include "../harness/deployment.hpp"
#include "../harness/endpoint.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <memory>
#include <optional>
#include <thread>

using namespace pomelo::review;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Ok = 200;
constexpr unsigned FirstVersion = 1;
constexpr unsigned LastVersion = 2;
constexpr int RequestsInAll = 40;
constexpr milliseconds BetweenRequests{150};

//! Bounds of the sheet of sj-gateway-large that differ from the small ones.
deployment_plan fivePlaces() {
  deployment_plan Plan;
  Plan.Zones = {"hr-central-a", "hr-central-b", "hr-central-c", "hr-central-d",
                "hr-central-e"};
  Plan.CoreZones = Plan.Zones;
  Plan.FrontZones = {"hr-central-a", "hr-central-b"};
  Plan.MachinesToLose = 2;
  Plan.Bounds = smallBounds();
  Plan.Bounds["contact_s"] = 4;
  Plan.Bounds["catch_up_s"] = 6;
  Plan.Bounds["drain_s"] = 2.5;
  Plan.Bounds["grace_s"] = 10;
  Plan.Bounds["config_propagation_s"] = 2.5;
  Plan.Bounds["outer_bound_s"] = 6;
  return Plan;
}

//! The version that the operator reads back within \p Timeout, asking again and
//! again.
std::optional<unsigned> readBack(const deployment &Deployment,
                                 milliseconds Timeout) {
  const auto Answer = Deployment.callControl(
      "GET", "/pomeloswitch/Configuration.Read", "", Timeout);
  Deployment.log().write("operator",
                         Answer ? "reads " + Answer->Body
                                : std::string("reads no configuration"));
  if (!Answer || Answer->status() != Ok)
    return std::nullopt;
  const auto Body = boost::json::parse(Answer->Body);
  constexpr int Hexadecimal = 16;
  return static_cast<unsigned>(std::stoul(
      std::string(Body.at("version").as_string()), nullptr, Hexadecimal));
}

//! The share of requests that are served.
double shareServed(deployment &Deployment, const std::string &Phase) {
  int Served = 0;
  for (int Number = 0; Number < RequestsInAll; ++Number) {
    client_request Request;
    Request.Id = Phase + "-" + std::to_string(Number);
    const std::string Front = "front-" + std::to_string(Number % 2 + 1);
    Served += served(ask(Deployment, Front, Request)) ? 1 : 0;
    std::this_thread::sleep_for(BetweenRequests);
  }
  const double Share = static_cast<double>(Served) / RequestsInAll;
  Deployment.log().write("case", Phase + ": served " + std::to_string(Share));
  return Share;
}

void loseTwoDisks(deployment &Deployment) {
  const std::vector<std::string> Lost{"core-1", "core-2"};
  for (const std::string &Name : Lost)
    Deployment.kill(Name);
  for (const std::string &Name : Lost)
    Deployment.loseDisk(Name);
  std::this_thread::sleep_for(seconds(2));
  for (const std::string &Name : Lost)
    Deployment.start(Name);
}

bool play(record &Record) {
  deployment Deployment(fivePlaces(), Record);
  simple_configuration Configuration;
  Configuration.Version = FirstVersion;
  if (!Deployment.replaceConfiguration(configurationText(Configuration),
                                       seconds(10)) ||
      !Deployment.awaitReady(seconds(10)))
    throw std::runtime_error("the deployment did not become ready");
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  for (const std::string &Zone : Deployment.plan().Zones)
    Endpoints.push_back(std::make_unique<endpoint>(
        endpoint_plan{"i-" + Zone, Configuration.Service, Zone,
                      Deployment.newIp()},
        Deployment));
  // All have had the time in which a new machine catches up.
  std::this_thread::sleep_for(seconds(8));
  const double Before = shareServed(Deployment, "before");
  Configuration.Version = LastVersion;
  if (!Deployment.replaceConfiguration(configurationText(Configuration),
                                       seconds(4)))
    throw std::runtime_error("the configuration was not acknowledged");
  if (troubled())
    loseTwoDisks(Deployment);
  std::this_thread::sleep_for(seconds(15)); // recovery_s
  const double After = shareServed(Deployment, "after");
  const auto Version = readBack(Deployment, seconds(12));
  if (!Version)
    Record.write("judge", "CONFIG: read back at the end, no configuration "
                          "comes; version 2 was acknowledged");
  else if (*Version < LastVersion)
    Record.write("judge", "CONFIG: read back at the end, the configuration is "
                          "older than the acknowledged version 2");
  const bool Recovered = Before < 0.25 || After >= 0.25;
  if (!Recovered)
    Record.write("judge", "RECOVER: less than a quarter of the requests is "
                          "served later than recovery_s after the machines "
                          "are back");
  return Version && *Version >= LastVersion && Recovered;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
