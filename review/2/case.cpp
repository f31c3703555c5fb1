//! Endpoints reject part of the long uploads before they are in; the clients
//! send them in chunks over links of their own speed.
#include "../harness/client.hpp"
#include "../harness/deployment.hpp"
#include "../harness/endpoint.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace pomelo::review;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using endpoint_list = std::vector<std::unique_ptr<endpoint>>;

constexpr int EndpointCount = 6;
constexpr int UploadCount = 40;
//! Every second endpoint (a share of 0.5) rejects 0.4 of the long requests.
constexpr int RejectingShare = 2;
constexpr double Rejected = 0.4;
//! Bodies of model-upload have 60,000 bytes on average and 360,000 at most.
constexpr std::size_t BodyBytes = 200000;
//! 8 KB each 10 ms: 6.5 Mbit/s.
constexpr std::size_t PieceBytes = 8192;
constexpr milliseconds PieceTime{10};
constexpr milliseconds TimeLimit{5000};

deployment_plan threePlaces() {
  deployment_plan Plan;
  Plan.Zones = {"hr-central-a", "hr-central-b", "hr-central-c"};
  Plan.CoreZones = Plan.Zones;
  Plan.FrontZones = Plan.Zones;
  Plan.Bounds = smallBounds();
  Plan.FrontLinkMbps = 2;
  return Plan;
}

std::string bodyOf(const std::string &Id) {
  std::string Body;
  while (Body.size() < BodyBytes)
    Body += Id + " " + std::to_string(Body.size()) + ";";
  Body.resize(BodyBytes);
  return Body;
}

std::string chunkOf(std::string_view Piece) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Piece.size());
  return std::string(Size.data()).append(Piece).append("\r\n");
}

//! Uploads in chunks on a new connection and reads the answer.
std::optional<message> upload(deployment &Deployment, const std::string &Front,
                              const std::string &Id) {
  const auto Deadline = clock::now() + TimeLimit;
  const auto Socket = stream::dial(Deployment.frontAddress(Front), Deadline);
  if (!Socket)
    return std::nullopt;
  stream Stream(*Socket);
  std::string Text = "POST " + std::string(RoutePath) + "model HTTP/1.1\r\n";
  Text += "Host: " + std::string(RouteHost) + "\r\nX-Request-Id: " + Id;
  Text += "\r\nX-Deadline-Milliseconds: " + std::to_string(TimeLimit.count());
  Text += "\r\nAuthorization: Bearer " + std::string(TenantKey);
  Text += "\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Body = bodyOf(Id);
  Deployment.log().write("client", "uploads " + Id + " to " + Front + ", " +
                                       std::to_string(Body.size()) + " bytes");
  bool Sending = Stream.send(Text, Deadline);
  for (std::size_t At = 0; Sending && At < Body.size(); At += PieceBytes) {
    Sending = Stream.send(
        chunkOf(std::string_view(Body).substr(At, PieceBytes)), Deadline);
    std::this_thread::sleep_for(PieceTime);
  }
  if (Sending)
    Stream.send(chunkOf(""), Deadline);
  auto Answer = Stream.read(Deadline);
  Deployment.log().write(
      "client",
      Answer ? "gets for " + Id + ": " + Answer->StartLine + ", receipt \"" +
                   Answer->field("x-response-signature") + "\", " + Answer->Body
             : "gets no answer for " + Id);
  return Answer;
}

//! UNASKED: an endpoint ran a request with its body changed.
bool bodyChanged(const endpoint_list &Endpoints, record &Record) {
  bool Changed = false;
  for (const auto &Endpoint : Endpoints)
    for (const run_entry &Run : Endpoint->runs()) {
      if (Run.Body == bodyOf(Run.RequestId))
        continue;
      Record.write("judge",
                   "UNASKED: " + Endpoint->plan().Id + " ran " + Run.RequestId +
                       " with a body of " + std::to_string(Run.Body.size()) +
                       " bytes; the client's has " + std::to_string(BodyBytes));
      Changed = true;
    }
  return Changed;
}

bool play(record &Record) {
  deployment Deployment(threePlaces(), Record);
  simple_configuration Configuration;
  Configuration.Kind = "upload";
  Configuration.TimeoutSeconds = 5;
  Configuration.LatencySeconds = 2.004;
  if (!Deployment.replaceConfiguration(configurationText(Configuration),
                                       seconds(10)) ||
      !Deployment.awaitReady(seconds(10)))
    throw std::runtime_error("the deployment did not become ready");
  endpoint_list Endpoints;
  for (int Number = 0; Number < EndpointCount; ++Number) {
    endpoint_plan Plan;
    Plan.Id = "i-" + std::to_string(Number);
    Plan.Service = Configuration.Service;
    Plan.Zone = Deployment.plan().Zones[static_cast<std::size_t>(Number % 3)];
    Plan.Ip = Deployment.newIp();
    if (troubled() && Number % RejectingShare == 0)
      Plan.RejectsEarly = Rejected;
    Endpoints.push_back(std::make_unique<endpoint>(Plan, Deployment));
  }
  std::this_thread::sleep_for(seconds(5));
  int Successes = 0;
  for (int Number = 0; Number < UploadCount; ++Number)
    Successes +=
        served(upload(Deployment, "front-" + std::to_string(Number % 3 + 1),
                      "upload-" + std::to_string(Number)))
            ? 1
            : 0;
  Record.write("case", std::to_string(Successes) + " of " +
                           std::to_string(UploadCount) + " uploads succeeded");
  return !bodyChanged(Endpoints, Record);
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
