#include "demo/added_latency.hpp"

#include "caller/replay.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <vector>

namespace pomelo::demo {
namespace {

constexpr int Requests = 300;
constexpr std::chrono::milliseconds Interval{5};

double medianMilliseconds(const std::string &Address, std::string_view Name) {
  caller::trace Trace;
  for (int Number = 0; Number < Requests; ++Number) {
    caller::trace_request Request;
    Request.At = Interval * Number;
    Request.Id = fmt::format("latency-{}-{}", Name, Number);
    Request.Method = "GET";
    Request.Path = "/status";
    Request.Idempotent = true;
    Trace.push_back(std::move(Request));
  }
  caller::replay_options Options;
  Options.Entries = {{Address, {}, 1}};
  std::vector<double> Milliseconds;
  for (const caller::outcome &Outcome : caller::runReplay(Options, Trace))
    if (Outcome.answered())
      Milliseconds.push_back(
          std::chrono::duration<double, std::milli>(Outcome.Latency).count());
  if (Milliseconds.empty())
    throw std::runtime_error(
        fmt::format("no request to {} was answered", Address));
  const auto Middle = Milliseconds.begin() +
                      static_cast<std::ptrdiff_t>(Milliseconds.size() / 2);
  std::nth_element(Milliseconds.begin(), Middle, Milliseconds.end());
  return *Middle;
}

std::string memberAddress(const emulator::member &Member, const char *Field) {
  return std::string(Member.Description.at(Field).as_string());
}

} // namespace

double measureAddedLatency(emulator::deployment &Deployment) {
  const double Direct = medianMilliseconds(
      memberAddress(Deployment.at("certification-zg-a"), "address"), "direct");
  const double Through = medianMilliseconds(
      memberAddress(Deployment.at("zg-a-e1"), "caller_address"), "through");
  return Through - Direct;
}

} // namespace pomelo::demo
