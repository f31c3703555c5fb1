#include "emulator/ownership_checker.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>

namespace pomelo::emulator {
namespace {

namespace json = boost::json;

std::string stringField(const json::object &Line, std::string_view Name) {
  const auto *Value = Line.if_contains(Name);
  return Value ? std::string(Value->as_string()) : std::string();
}

execution parseStart(const json::object &Line) {
  execution Started;
  Started.TargetId = stringField(Line, "target");
  Started.Path = stringField(Line, "path");
  Started.Slot = stringField(Line, "slot");
  Started.Token =
      std::strtoull(stringField(Line, "token").c_str(), nullptr, 10);
  Started.StartUs = Line.at("time_us").as_int64();
  return Started;
}

std::string describe(const execution &Each) {
  return fmt::format("slot {} token {} on {} at {}..{}", Each.Slot, Each.Token,
                     Each.TargetId, Each.StartUs, Each.EndUs);
}

void checkPair(const execution &Earlier, const execution &Later,
               const execution_limit &ExecutionLimit,
               std::vector<std::string> &Violations) {
  const auto Report = [&](std::string_view What) {
    Violations.push_back(
        fmt::format("{}: {} / {}", What, describe(Earlier), describe(Later)));
  };
  if (Later.Token < Earlier.Token)
    Report("token went back");
  if (Earlier.TargetId == Later.TargetId)
    return;
  if (Later.Token == Earlier.Token)
    Report("token of two targets");
  const std::int64_t LatestEndUs = std::min(
      Earlier.EndUs, Earlier.StartUs + ExecutionLimit(Earlier.TargetId));
  if (Earlier.EndUs > 0 && Later.StartUs < LatestEndUs)
    Report("overlap");
}

} // namespace

std::vector<execution> readJournal(const std::string &File) {
  std::vector<execution> Executions;
  std::map<std::int64_t, std::size_t> Running;
  std::ifstream Journal(File);
  for (std::string Text; std::getline(Journal, Text);) {
    json::error_code Failure;
    const json::value Value = json::parse(Text, Failure);
    if (Failure || !Value.is_object())
      continue;
    const json::object &Line = Value.as_object();
    const std::string Event = stringField(Line, "event");
    if (Event == "start") {
      Running[Line.at("execution").to_number<std::int64_t>()] =
          Executions.size();
      Executions.push_back(parseStart(Line));
    } else if (Event == "end") {
      const auto Number = Line.at("execution").to_number<std::int64_t>();
      const auto Found = Running.find(Number);
      if (Found != Running.end())
        Executions[Found->second].EndUs = Line.at("time_us").as_int64();
    }
  }
  return Executions;
}

std::vector<std::string>
findOwnershipViolations(std::vector<execution> Executions,
                        const execution_limit &ExecutionLimit) {
  std::sort(Executions.begin(), Executions.end(),
            [](const execution &Left, const execution &Right) {
              return Left.StartUs < Right.StartUs;
            });
  std::vector<std::string> Violations;
  // The request of each slot that later ones are compared with. Among requests
  // of the same owner, this is the one that ends last.
  std::map<std::string, execution> LastBySlot;
  for (const execution &Each : Executions) {
    if (Each.Slot.empty())
      continue;
    const auto [Found, Inserted] = LastBySlot.try_emplace(Each.Slot, Each);
    if (Inserted)
      continue;
    execution &Earlier = Found->second;
    checkPair(Earlier, Each, ExecutionLimit, Violations);
    const bool SameOwner = Earlier.TargetId == Each.TargetId;
    if (!SameOwner || Each.EndUs >= Earlier.EndUs)
      Earlier = Each;
    else
      Earlier.Token = std::max(Earlier.Token, Each.Token);
  }
  return Violations;
}

} // namespace pomelo::emulator
