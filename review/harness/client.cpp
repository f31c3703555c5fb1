#include "client.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string_view>

namespace pomelo::review {
namespace {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;
constexpr int Ok = 200;

} // namespace

std::optional<message> ask(deployment &Deployment, const std::string &Front,
                           const client_request &Request) {
  header_map Fields = Request.Fields;
  Fields["Host"] = RouteHost;
  Fields["X-Request-Id"] = Request.Id;
  Fields["X-Deadline-Milliseconds"] = std::to_string(Request.TimeLimit.count());
  Fields["Authorization"] = "Bearer " + std::string(TenantKey);
  Deployment.log().write("client", "sends " + Request.Id + " to " + Front);
  auto Answer =
      exchange(Deployment.frontAddress(Front),
               requestText(Request.Method, std::string(RoutePath) + "2f",
                           Fields, Request.Body),
               Request.LeavesAfter.value_or(Request.TimeLimit));
  if (Answer)
    Deployment.log().write("client", "gets for " + Request.Id + ": " +
                                         Answer->StartLine + ", receipt \"" +
                                         Answer->field("x-response-signature") +
                                         "\", " + Answer->Body);
  else
    Deployment.log().write("client", Request.LeavesAfter
                                         ? "leaves from " + Request.Id
                                         : "gets no answer for " + Request.Id);
  return Answer;
}

bool served(const std::optional<message> &Answer) {
  return Answer && Answer->status() == Ok &&
         !Answer->field("x-response-signature").empty();
}

bool troubled() {
  const char *Trouble = std::getenv("TROUBLE");
  return !Trouble || std::string_view(Trouble) != "0";
}

int runCase(int Argc, char **Argv, const std::function<bool(record &)> &Play) {
  if (Argc != 2) {
    std::fputs("usage: case RECORD-FILE\n", stderr);
    return CouldNotRun;
  }
  record Record(Argv[1]);
  Record.write("case", troubled() ? "with the disruption" : "without it");
  try {
    const bool RuleHeld = Play(Record);
    Record.write("case", RuleHeld ? "the rule held" : "the rule was broken");
    std::puts(RuleHeld ? "the rule held" : "the rule was broken");
    return RuleHeld ? Held : Broken;
  } catch (const std::exception &Failure) {
    Record.write("case", std::string("could not run: ") + Failure.what());
    std::fprintf(stderr, "could not run: %s\n", Failure.what());
    return CouldNotRun;
  }
}

} // namespace pomelo::review
