#include "pomeloswitch/cli/request_timeline.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>
#include <system_error>

namespace pomelo {
namespace {

namespace json = boost::json;

//! Events up to this long before the start of a request can explain its
//! outcome: covers the longest time that a target is held and a leader change.
constexpr long long LookBackMs = 5000;
constexpr long long LookAheadMs = 500;

struct explanation {
  std::string_view ErrorName;
  std::string_view Text;
};

constexpr std::array Explanations{
    explanation{"rate_exceeded", "the account exceeded its request rate"},
    explanation{"no_owner",
                "no target owned the key: see slots_revoked, release_ended and "
                "slots_granted for its slot"},
    explanation{"overloaded", "no eligible target had capacity in time"},
    explanation{"no_target",
                "the service had no target that accepts new requests"},
    explanation{"not_authoritative",
                "the entry host had lost contact with the control group: see "
                "the lines about links and the leader"},
    explanation{"outcome_unknown",
                "a target received the request and did not answer, and the "
                "request must not run twice"},
    explanation{"upstream_failed", "all attempted targets failed"},
    explanation{"deadline_exceeded",
                "the deadline passed before the request was sent"},
    explanation{"no_route", "the configuration has no matching route"},
    explanation{"unauthenticated", "the API key is unknown or was withdrawn"}};

std::string stringField(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string()) : "";
}

long long integerField(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_number() ? Value->to_number<long long>() : 0;
}

//! Whether \p Object is the notice that the logging library writes after a full
//! queue dropped lines.
bool reportsDroppedLines(const json::object &Object) {
  return stringField(Object, "message").starts_with("Discarded");
}

std::string formatFields(const json::object &Object) {
  std::string Text = stringField(Object, "message");
  if (!Text.empty())
    return Text;
  Text = stringField(Object, "event");
  for (const auto &[Name, Value] : Object)
    if (Name != "time_ms" && Name != "level" && Name != "part" &&
        Name != "event" && Name != "request")
      Text += fmt::format(" {}={}", std::string_view(Name),
                          Value.is_string() ? std::string(Value.as_string())
                                            : json::serialize(Value));
  return Text;
}

//! Parses \p Text as a decimal number; nullopt if it is anything else.
std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *const End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Number;
}

//! Whether \p Ranges, such as "1-3,5", contains \p Slot.
bool rangesContain(std::string_view Ranges, std::uint64_t Slot) {
  while (!Ranges.empty()) {
    const std::string_view Range = Ranges.substr(0, Ranges.find(','));
    Ranges.remove_prefix(std::min(Ranges.size(), Range.size() + 1));
    const auto Dash = Range.find('-');
    const auto First = parseNumber(Range.substr(0, Dash));
    const auto Last = Dash == std::string_view::npos
                          ? First
                          : parseNumber(Range.substr(Dash + 1));
    if (First && Last && *First <= Slot && Slot <= *Last)
      return true;
  }
  return false;
}

//! Service, slots and targets that the lines of a request mention.
struct request_scope {
  std::string Service;
  std::set<std::uint64_t> Slots;
  std::set<std::string> Targets;

  void add(const json::object &Object) {
    if (Service.empty())
      Service = stringField(Object, "service");
    if (Object.contains("slot"))
      Slots.insert(static_cast<std::uint64_t>(integerField(Object, "slot")));
    if (const std::string Target = stringField(Object, "target");
        !Target.empty())
      Targets.insert(Target);
    if (const json::value *Attempts = Object.if_contains("attempts"))
      for (const json::value &Attempt : Attempts->as_array())
        add(Attempt.as_object());
  }

  [[nodiscard]] bool includes(const json::object &Object) const {
    if (Targets.contains(stringField(Object, "target")))
      return true;
    if (stringField(Object, "service") != Service)
      return false;
    const auto ContainsSlot = [&](std::string_view Ranges) {
      return std::any_of(Slots.begin(), Slots.end(), [&](std::uint64_t Slot) {
        return rangesContain(Ranges, Slot);
      });
    };
    if (const json::value *Owners = Object.if_contains("owners"))
      for (const auto &[Target, Ranges] : Owners->as_object())
        if (Targets.contains(std::string(Target)) ||
            ContainsSlot(Ranges.as_string()))
          return true;
    return Object.contains("slots") &&
           ContainsSlot(stringField(Object, "slots"));
  }
};

//! Whether the line reports a change that can affect any request.
bool affectsAllRequests(const json::object &Object) {
  const std::string Event = stringField(Object, "event");
  const std::string Part = stringField(Object, "part");
  return Event == "configuration_replaced" || Event == "drain_changed" ||
         (Event.empty() && (Part == "control" || Part == "raft"));
}

} // namespace

void request_timeline::read(std::istream &Log, const std::string &Process) {
  std::string Line;
  for (std::size_t Number = 1; std::getline(Log, Line); ++Number)
    if (!Line.empty())
      readLine(Line, Process, Number);
}

void request_timeline::readLine(const std::string &Line,
                                const std::string &Process,
                                std::size_t Number) {
  const auto Start = std::min(Line.find('{'), Line.size());
  boost::system::error_code ParseError;
  json::value Parsed = json::parse(Line.substr(Start), ParseError);
  if (ParseError || !Parsed.is_object()) {
    Unreadable.push_back(fmt::format("{}:{}", Process, Number));
    return;
  }
  log_record Record;
  Record.Fields = std::move(Parsed.as_object());
  Record.TimeMs = integerField(Record.Fields, "time_ms");
  Record.Process = Process;
  const std::string_view Prefix = std::string_view(Line).substr(0, Start);
  if (const auto End = Prefix.find_last_not_of(' ');
      End != std::string_view::npos) {
    const auto Space = Prefix.find_last_of(' ', End);
    const auto First = Space == std::string_view::npos ? 0 : Space + 1;
    Record.Process = Prefix.substr(First, End + 1 - First);
  }
  if (stringField(Record.Fields, "request") == Id)
    RequestRecords.push_back(std::move(Record));
  else if (!Record.Fields.contains("request"))
    OtherRecords.push_back(std::move(Record));
}

bool request_timeline::isNearRequest(long long TimeMs) const {
  return std::any_of(
      RequestRecords.begin(), RequestRecords.end(),
      [&](const log_record &Record) {
        const long long DurationMs = integerField(Record.Fields, "took_ms");
        return Record.TimeMs - DurationMs - LookBackMs <= TimeMs &&
               TimeMs <= Record.TimeMs + LookAheadMs;
      });
}

std::vector<timeline_entry> request_timeline::lines() const {
  request_scope Scope;
  std::set<std::string> Processes;
  std::vector<const log_record *> Selected;
  for (const log_record &Record : RequestRecords) {
    Scope.add(Record.Fields);
    Processes.insert(Record.Process);
    Selected.push_back(&Record);
  }
  for (const log_record &Record : OtherRecords)
    if (isNearRequest(Record.TimeMs) &&
        (Processes.contains(Record.Process) ||
         affectsAllRequests(Record.Fields) || Scope.includes(Record.Fields)))
      Selected.push_back(&Record);
  std::stable_sort(Selected.begin(), Selected.end(),
                   [](const log_record *Left, const log_record *Right) {
                     return Left->TimeMs < Right->TimeMs;
                   });
  std::vector<timeline_entry> Lines;
  Lines.reserve(Selected.size());
  for (const log_record *Record : Selected)
    Lines.push_back(
        {Record->TimeMs, Record->Process, formatFields(Record->Fields)});
  return Lines;
}

std::vector<timeline_entry> request_timeline::dropped() const {
  std::vector<timeline_entry> Lines;
  for (const log_record &Record : OtherRecords)
    if (reportsDroppedLines(Record.Fields) && isNearRequest(Record.TimeMs))
      Lines.push_back(
          {Record.TimeMs, Record.Process, formatFields(Record.Fields)});
  return Lines;
}

std::string request_timeline::conclusion() const {
  if (RequestRecords.empty())
    return "no log line contains the request id";
  const std::string ErrorName =
      stringField(RequestRecords.back().Fields, "error");
  if (ErrorName.empty())
    return "the request was answered";
  const auto Found = std::find_if(Explanations.begin(), Explanations.end(),
                                  [&](const explanation &Candidate) {
                                    return Candidate.ErrorName == ErrorName;
                                  });
  const std::string_view Cause =
      Found == Explanations.end() ? "see the logged reason" : Found->Text;
  return fmt::format("{}: {}", ErrorName, Cause);
}

} // namespace pomelo
