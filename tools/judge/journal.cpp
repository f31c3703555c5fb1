#include "judge/journal.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <istream>
#include <map>

namespace pomelo::judge {
namespace {

namespace json = boost::json;

std::string textMember(const json::object &Event, std::string_view Name) {
  const json::value *Value = Event.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string())
                                     : std::string();
}

std::uint64_t parseNumber(const std::string &Text) {
  return Text.empty() ? 0 : std::strtoull(Text.c_str(), nullptr, 10);
}

//! Processes the events of one target. Execution numbers start again from 1
//! when the target's process restarts.
class event_reader {
public:
  explicit event_reader(journal &Journal) : Journal(Journal) {}
  ~event_reader() { endOpenExecutions(); }
  event_reader(const event_reader &) = delete;
  event_reader &operator=(const event_reader &) = delete;

  void addEvent(const json::object &Event) {
    const std::string Kind = textMember(Event, "event");
    if (Kind == "process_start") {
      endOpenExecutions();
      Service = textMember(Event, "service");
    }
    LastEventUs = Event.at("time_us").as_int64();
    if (Kind == "start")
      return startExecution(Event);
    if (Kind == "connection_refused")
      ++Journal.ConnectionBreaches;
    if (Kind != "end" && Kind != "cancelled")
      return;
    const auto Found = OpenExecutions.find(Event.at("execution").as_int64());
    if (Found == OpenExecutions.end())
      return;
    execution &Execution = Journal.Executions[Found->second];
    Execution.EndUs = LastEventUs;
    Execution.Ended = true;
    Execution.Cancelled = Kind == "cancelled";
    OpenExecutions.erase(Found);
  }

private:
  void startExecution(const json::object &Event) {
    execution Execution;
    Execution.Target = textMember(Event, "target");
    Execution.Service = Service;
    Execution.RequestId = textMember(Event, "request_id");
    Execution.Account = textMember(Event, "account");
    Execution.Path = textMember(Event, "path");
    const std::string Slot = textMember(Event, "slot");
    if (!Slot.empty())
      Execution.Slot = static_cast<std::uint32_t>(parseNumber(Slot));
    Execution.Token = parseNumber(textMember(Event, "token"));
    Execution.ReceivedCredential = Event.at("authorization").as_bool();
    Execution.StartUs = LastEventUs;
    OpenExecutions[Event.at("execution").as_int64()] =
        Journal.Executions.size();
    Journal.Executions.push_back(std::move(Execution));
  }

  void endOpenExecutions() {
    for (const auto &[Number, Index] : OpenExecutions) {
      execution &Execution = Journal.Executions[Index];
      Execution.EndUs = std::max(Execution.StartUs, LastEventUs);
    }
    OpenExecutions.clear();
  }

  journal &Journal;
  std::string Service;
  std::int64_t LastEventUs = 0;
  std::map<std::int64_t, std::size_t>
      OpenExecutions; //!< Execution number to index.
};

} // namespace

void journal::read(std::istream &In) {
  event_reader Reader(*this);
  for (std::string Line; std::getline(In, Line);) {
    boost::system::error_code Error;
    const json::value Event = json::parse(Line, Error);
    if (!Error && Event.is_object())
      Reader.addEvent(Event.as_object());
  }
}

journal readJournals(std::span<const std::string> Files) {
  journal Journal;
  for (const std::string &File : Files) {
    std::ifstream In(File);
    Journal.read(In);
  }
  return Journal;
}

} // namespace pomelo::judge
