//! A client leaves before its time limit and later asks again, with a request
//! of its own id and the same header Idempotency-Key.
#include "../harness/client.hpp"
#include "../harness/deployment.hpp"
#include "../harness/endpoint.hpp"

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace pomelo::review;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ClientCount = 10;
//! One in so many clients leaves early (a share of 0.2).
constexpr int LeavingShare = 5;
constexpr milliseconds Work{600};
//! Half of the objective of cert-submit on the sheet of sj-gateway.
constexpr milliseconds LeavesAfter{400};

deployment_plan threePlaces() {
  deployment_plan Plan;
  Plan.Zones = {"hr-central-a", "hr-central-b", "hr-central-c"};
  Plan.CoreZones = Plan.Zones;
  Plan.FrontZones = Plan.Zones;
  Plan.Bounds = smallBounds();
  return Plan;
}

client_request submission(int Client, int Attempt) {
  client_request Request;
  Request.Id =
      "submit-" + std::to_string(Client) + "-" + std::to_string(Attempt);
  Request.Body = "calculation " + std::to_string(Client);
  Request.Fields["Idempotency-Key"] = "calculation-" + std::to_string(Client);
  return Request;
}

//! MIXED: a success without the endpoint's receipt, or one that belongs to
//! another request.
bool isMixed(const std::optional<message> &Answer, const std::string &Id) {
  constexpr int FirstSuccess = 200;
  constexpr int FirstOther = 300;
  if (!Answer || Answer->status() < FirstSuccess ||
      Answer->status() >= FirstOther)
    return false;
  return Answer->field("x-response-signature").empty() ||
         Answer->Body != "the answer to " + Id;
}

bool play(record &Record) {
  deployment Deployment(threePlaces(), Record);
  const simple_configuration Configuration;
  if (!Deployment.replaceConfiguration(configurationText(Configuration),
                                       seconds(10)) ||
      !Deployment.awaitReady(seconds(10)))
    throw std::runtime_error("the deployment did not become ready");
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  for (const std::string &Zone : Deployment.plan().Zones) {
    endpoint_plan Plan{"i-" + Zone, Configuration.Service, Zone,
                       Deployment.newIp()};
    Plan.Work = Work;
    Endpoints.push_back(std::make_unique<endpoint>(Plan, Deployment));
  }
  std::this_thread::sleep_for(seconds(5));
  bool Broken = false;
  const auto Judge = [&](const client_request &Request,
                         const std::optional<message> &Answer) {
    if (!isMixed(Answer, Request.Id))
      return;
    Record.write("judge", "MIXED: " + Request.Id +
                              " gets a success without a receipt of its own");
    Broken = true;
  };
  for (int Client = 0; Client < ClientCount; ++Client) {
    client_request First = submission(Client, 1);
    const bool Leaves = troubled() && Client % LeavingShare == 0;
    if (Leaves)
      First.LeavesAfter = LeavesAfter;
    Judge(First, ask(Deployment, "front-1", First));
    if (!Leaves)
      continue;
    std::this_thread::sleep_for(seconds(2));
    const client_request Second = submission(Client, 2);
    Judge(Second, ask(Deployment, "front-2", Second));
  }
  return !Broken;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
