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

std::string text(const json::object &Event, std::string_view Name) {
  const json::value *Value = Event.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string())
                                     : std::string();
}

std::uint64_t number(const std::string &Text) {
  return Text.empty() ? 0 : std::strtoull(Text.c_str(), nullptr, 10);
}

//! Reads the lines of one target; executions are numbered from 1 again when
//! the target's process is started again.
class reader {
public:
  explicit reader(journal &Journal) : Journal(Journal) {}
  ~reader() { endProcess(); }
  reader(const reader &) = delete;
  reader &operator=(const reader &) = delete;

  void take(const json::object &Event) {
    const std::string Kind = text(Event, "event");
    if (Kind == "process_start") {
      endProcess();
      Service = text(Event, "service");
    }
    LastUs = Event.at("time_us").as_int64();
    if (Kind == "start")
      return begin(Event);
    if (Kind == "connection_refused")
      ++Journal.ConnectionBreaches;
    if (Kind != "end" && Kind != "cancelled")
      return;
    const auto Found = Open.find(Event.at("execution").as_int64());
    if (Found == Open.end())
      return;
    execution &Execution = Journal.Executions[Found->second];
    Execution.EndUs = LastUs;
    Execution.Ended = true;
    Execution.Cancelled = Kind == "cancelled";
    Open.erase(Found);
  }

private:
  void begin(const json::object &Event) {
    execution Execution;
    Execution.Target = text(Event, "target");
    Execution.Service = Service;
    Execution.RequestId = text(Event, "request_id");
    Execution.Account = text(Event, "account");
    Execution.Path = text(Event, "path");
    const std::string Slot = text(Event, "slot");
    if (!Slot.empty())
      Execution.Slot = static_cast<std::uint32_t>(number(Slot));
    Execution.Token = number(text(Event, "token"));
    Execution.SawCredential = Event.at("authorization").as_bool();
    Execution.StartUs = LastUs;
    Open[Event.at("execution").as_int64()] = Journal.Executions.size();
    Journal.Executions.push_back(std::move(Execution));
  }

  void endProcess() {
    for (const auto &[Number, Index] : Open) {
      execution &Execution = Journal.Executions[Index];
      Execution.EndUs = std::max(Execution.StartUs, LastUs);
    }
    Open.clear();
  }

  journal &Journal;
  std::string Service;
  std::int64_t LastUs = 0;
  std::map<std::int64_t, std::size_t> Open; //!< Execution number to index.
};

} // namespace

void journal::read(std::istream &In) {
  reader Reader(*this);
  for (std::string Line; std::getline(In, Line);) {
    boost::system::error_code Error;
    const json::value Event = json::parse(Line, Error);
    if (!Error && Event.is_object())
      Reader.take(Event.as_object());
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
