//! A request that crashes each endpoint that begins to run it comes again and
//! again; the endpoints come back after some seconds, with new ids.
#include "../harness/client.hpp"
#include "../harness/deployment.hpp"
#include "../harness/endpoint.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace pomelo::review;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int EndpointCount = 9;
constexpr milliseconds BackAfter{3000};
constexpr milliseconds PlayTime{50000};
constexpr milliseconds BetweenAttempts{2000};
constexpr milliseconds BetweenOthers{100};
constexpr int OtherClients = 6;
constexpr seconds Contact{3}; //!< contact_s
constexpr int CrashesBefore = 3;
constexpr int RetriesAllowed = 3;
const char *const CrashingBody = "a model that no worker survives";

deployment_plan threePlaces() {
  deployment_plan Plan;
  Plan.Zones = {"hr-central-a", "hr-central-b", "hr-central-c"};
  Plan.CoreZones = Plan.Zones;
  Plan.FrontZones = Plan.Zones;
  Plan.Bounds = smallBounds();
  return Plan;
}

//! The endpoints, and those that crashed.
class endpoint_park {
public:
  endpoint_park(deployment &Deployment, const std::string &Service)
      : Deployment(Deployment) {
    for (int Number = 0; Number < EndpointCount; ++Number) {
      place Place;
      Place.Plan.Service = Service;
      Place.Plan.Zone =
          Deployment.plan().Zones[static_cast<std::size_t>(Number % 3)];
      Place.Plan.Ip = Deployment.newIp();
      if (troubled())
        Place.Plan.CrashingBody = CrashingBody;
      Places.push_back(std::move(Place));
    }
    tend();
  }

  //! Ends the endpoints that crash, and starts those that are due with new ids.
  void tend() {
    for (place &Place : Places) {
      if (Place.Endpoint && Place.Endpoint->crashing()) {
        Place.Endpoint->crash();
        Place.Plan.Port = Place.Endpoint->port();
        Place.BackAt = clock::now() + BackAfter;
        Gone.push_back(std::move(Place.Endpoint));
      } else if (!Place.Endpoint && clock::now() >= Place.BackAt) {
        Place.Plan.Id = "i-" + std::to_string(++LastId);
        Place.Endpoint = std::make_unique<endpoint>(Place.Plan, Deployment);
      }
    }
  }

  //! How many other requests ran on endpoints when these crashed.
  [[nodiscard]] std::size_t lostOthers() const {
    std::size_t Lost = 0;
    for (const auto &Endpoint : Gone)
      for (const run_entry &Run : Endpoint->runs())
        Lost += Run.Dropped && Run.RequestId.starts_with("other-") ? 1 : 0;
    return Lost;
  }

  //! When endpoints began to run requests whose ids begin with \p Prefix.
  [[nodiscard]] std::vector<clock::time_point>
  beginnings(const std::string &Prefix) const {
    std::vector<clock::time_point> Times;
    const auto Add = [&](const endpoint &Endpoint) {
      for (const run_entry &Run : Endpoint.runs())
        if (Run.RequestId.starts_with(Prefix))
          Times.push_back(Run.BeganAt);
    };
    for (const place &Place : Places)
      if (Place.Endpoint)
        Add(*Place.Endpoint);
    for (const auto &Endpoint : Gone)
      Add(*Endpoint);
    std::sort(Times.begin(), Times.end());
    return Times;
  }

private:
  struct place {
    endpoint_plan Plan;
    std::unique_ptr<endpoint> Endpoint; //!< Null while it is down.
    clock::time_point BackAt{};
  };

  deployment &Deployment;
  int LastId = 0;
  std::vector<place> Places;
  std::vector<std::unique_ptr<endpoint>> Gone;
};

//! Sends requests of one kind, each to another entry host, until \p End.
std::thread clientThread(deployment &Deployment, const std::string &Prefix,
                         const std::string &Body, milliseconds Pause,
                         clock::time_point End) {
  return std::thread([&Deployment, Prefix, Body, Pause, End] {
    for (int Number = 0; clock::now() < End; ++Number) {
      client_request Request;
      Request.Id = Prefix + std::to_string(Number);
      Request.Body = Body;
      ask(Deployment, "front-" + std::to_string(Number % 3 + 1), Request);
      std::this_thread::sleep_for(Pause);
    }
  });
}

//! BUDGET: how many retries reached endpoints later than contact_s after the
//! request had crashed the third.
int lateRetries(const std::vector<clock::time_point> &Beginnings) {
  if (Beginnings.size() < CrashesBefore)
    return 0;
  const auto Since = Beginnings[CrashesBefore - 1] + Contact;
  return static_cast<int>(
      std::count_if(Beginnings.begin(), Beginnings.end(),
                    [Since](clock::time_point Time) { return Time > Since; }));
}

bool play(record &Record) {
  deployment Deployment(threePlaces(), Record);
  const simple_configuration Configuration;
  if (!Deployment.replaceConfiguration(configurationText(Configuration),
                                       seconds(10)) ||
      !Deployment.awaitReady(seconds(10)))
    throw std::runtime_error("the deployment did not become ready");
  endpoint_park Park(Deployment, Configuration.Service);
  std::this_thread::sleep_for(seconds(6));
  const auto End = clock::now() + PlayTime;
  std::thread Crasher =
      clientThread(Deployment, "crash-", CrashingBody, BetweenAttempts, End);
  std::vector<std::thread> Others;
  Others.reserve(OtherClients);
  for (int Number = 0; Number < OtherClients; ++Number)
    Others.push_back(clientThread(Deployment,
                                  "other-" + std::to_string(Number) + "-",
                                  "a sound request", BetweenOthers, End));
  while (clock::now() < End) {
    Park.tend();
    std::this_thread::sleep_for(milliseconds(2));
  }
  // What still runs must not wait for an endpoint that is to crash.
  for (int Rounds = 0; Rounds < 1500; ++Rounds) {
    Park.tend();
    std::this_thread::sleep_for(milliseconds(2));
  }
  Crasher.join();
  for (std::thread &Other : Others)
    Other.join();
  const auto Beginnings = Park.beginnings("crash-");
  const int Late = lateRetries(Beginnings);
  Record.write("judge", "the request reached endpoints " +
                            std::to_string(Beginnings.size()) + " times, " +
                            std::to_string(Late) +
                            " of them later than contact_s after the third; " +
                            std::to_string(Park.lostOthers()) +
                            " other requests were lost in the crashes");
  if (!troubled() || Late <= RetriesAllowed)
    return true;
  Record.write("judge", "BUDGET: a request that crashes the endpoints that run "
                        "it reaches endpoints in more than three retries");
  return false;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
