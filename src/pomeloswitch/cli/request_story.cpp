#include "pomeloswitch/cli/request_story.hpp"

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

//! Decisions this long before a request began still explain it: the longest
//! hold of a target and a change of leader.
constexpr long long BeforeMs = 5000;
constexpr long long AfterMs = 500;

struct explanation {
  std::string_view Error;
  std::string_view Text;
};

constexpr std::array Explanations{
    explanation{"rate_exceeded",
                "the account was above its rate when the request came"},
    explanation{"no_owner",
                "no target owned the key: see slots_revoked, release_ended and "
                "slots_granted for its slot"},
    explanation{"overloaded",
                "the targets that could take it had no room in time"},
    explanation{"no_target", "the service had no target that takes new work"},
    explanation{"not_authoritative",
                "its entry host was out of touch with the control group: see "
                "the links and the leader around it"},
    explanation{"outcome_unknown",
                "a target got it and did not answer, and it may not run twice"},
    explanation{"upstream_failed", "every target that it was sent to failed"},
    explanation{"deadline_exceeded", "its time ended before it was sent"},
    explanation{"no_route", "the configuration has no route for it"},
    explanation{"unauthenticated", "its key is not known or was withdrawn"}};

std::string textOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string()) : "";
}

long long numberOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_number() ? Value->to_number<long long>() : 0;
}

//! What the log's own library writes where a full queue lost lines.
bool tellsOfDropped(const json::object &Object) {
  return textOf(Object, "message").starts_with("Discarded");
}

std::string describe(const json::object &Object) {
  std::string Text = textOf(Object, "message");
  if (!Text.empty())
    return Text;
  Text = textOf(Object, "event");
  for (const auto &[Name, Value] : Object)
    if (Name != "time_ms" && Name != "level" && Name != "part" &&
        Name != "event" && Name != "request")
      Text += fmt::format(" {}={}", std::string_view(Name),
                          Value.is_string() ? std::string(Value.as_string())
                                            : json::serialize(Value));
  return Text;
}

//! The number that \p Text is; none if it is another text.
std::optional<std::uint64_t> numberOf(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *const End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Number;
}

bool rangesHold(std::string_view Ranges, std::uint64_t Slot) {
  while (!Ranges.empty()) {
    const std::string_view Range = Ranges.substr(0, Ranges.find(','));
    Ranges.remove_prefix(std::min(Ranges.size(), Range.size() + 1));
    const auto Dash = Range.find('-');
    const auto First = numberOf(Range.substr(0, Dash));
    const auto Last = Dash == std::string_view::npos
                          ? First
                          : numberOf(Range.substr(Dash + 1));
    if (First && Last && *First <= Slot && Slot <= *Last)
      return true;
  }
  return false;
}

//! Slots and targets of a request's own lines.
struct places {
  std::string Service;
  std::set<std::uint64_t> Slots;
  std::set<std::string> Targets;

  void add(const json::object &Object) {
    if (Service.empty())
      Service = textOf(Object, "service");
    if (Object.contains("slot"))
      Slots.insert(static_cast<std::uint64_t>(numberOf(Object, "slot")));
    if (const std::string Target = textOf(Object, "target"); !Target.empty())
      Targets.insert(Target);
    if (const json::value *Attempts = Object.if_contains("attempts"))
      for (const json::value &Attempt : Attempts->as_array())
        add(Attempt.as_object());
  }

  [[nodiscard]] bool namedBy(const json::object &Object) const {
    if (Targets.contains(textOf(Object, "target")))
      return true;
    if (textOf(Object, "service") != Service)
      return false;
    const auto Holds = [&](std::string_view Ranges) {
      return std::any_of(Slots.begin(), Slots.end(), [&](std::uint64_t Slot) {
        return rangesHold(Ranges, Slot);
      });
    };
    if (const json::value *Owners = Object.if_contains("owners"))
      for (const auto &[Target, Ranges] : Owners->as_object())
        if (Targets.contains(std::string(Target)) || Holds(Ranges.as_string()))
          return true;
    return Object.contains("slots") && Holds(textOf(Object, "slots"));
  }
};

//! Changes that concern every request.
bool concernsAll(const json::object &Object) {
  const std::string Event = textOf(Object, "event");
  const std::string Part = textOf(Object, "part");
  return Event == "configuration_replaced" || Event == "drain_changed" ||
         (Event.empty() && (Part == "control" || Part == "raft"));
}

} // namespace

void request_story::read(std::istream &Log, const std::string &Process) {
  std::string Line;
  for (std::size_t Number = 1; std::getline(Log, Line); ++Number)
    if (!Line.empty())
      readLine(Line, Process, Number);
}

void request_story::readLine(const std::string &Line,
                             const std::string &Process, std::size_t Number) {
  const auto Start = std::min(Line.find('{'), Line.size());
  boost::system::error_code Error;
  json::value Parsed = json::parse(Line.substr(Start), Error);
  if (Error || !Parsed.is_object()) {
    Unreadable.push_back(fmt::format("{}:{}", Process, Number));
    return;
  }
  entry Entry;
  Entry.Fields = std::move(Parsed.as_object());
  Entry.TimeMs = numberOf(Entry.Fields, "time_ms");
  Entry.Process = Process;
  const std::string_view Prefix = std::string_view(Line).substr(0, Start);
  if (const auto End = Prefix.find_last_not_of(' ');
      End != std::string_view::npos) {
    const auto Space = Prefix.find_last_of(' ', End);
    const auto First = Space == std::string_view::npos ? 0 : Space + 1;
    Entry.Process = Prefix.substr(First, End + 1 - First);
  }
  if (textOf(Entry.Fields, "request") == Id)
    Own.push_back(std::move(Entry));
  else if (!Entry.Fields.contains("request"))
    Others.push_back(std::move(Entry));
}

bool request_story::around(long long TimeMs) const {
  return std::any_of(Own.begin(), Own.end(), [&](const entry &Entry) {
    const long long Took = numberOf(Entry.Fields, "took_ms");
    return Entry.TimeMs - Took - BeforeMs <= TimeMs &&
           TimeMs <= Entry.TimeMs + AfterMs;
  });
}

std::vector<story_line> request_story::lines() const {
  places Places;
  std::set<std::string> Processes;
  std::vector<const entry *> Chosen;
  for (const entry &Entry : Own) {
    Places.add(Entry.Fields);
    Processes.insert(Entry.Process);
    Chosen.push_back(&Entry);
  }
  for (const entry &Entry : Others)
    if (around(Entry.TimeMs) &&
        (Processes.contains(Entry.Process) || concernsAll(Entry.Fields) ||
         Places.namedBy(Entry.Fields)))
      Chosen.push_back(&Entry);
  std::stable_sort(Chosen.begin(), Chosen.end(),
                   [](const entry *Left, const entry *Right) {
                     return Left->TimeMs < Right->TimeMs;
                   });
  std::vector<story_line> Lines;
  Lines.reserve(Chosen.size());
  for (const entry *Entry : Chosen)
    Lines.push_back({Entry->TimeMs, Entry->Process, describe(Entry->Fields)});
  return Lines;
}

std::vector<story_line> request_story::dropped() const {
  std::vector<story_line> Lines;
  for (const entry &Entry : Others)
    if (tellsOfDropped(Entry.Fields) && around(Entry.TimeMs))
      Lines.push_back({Entry.TimeMs, Entry.Process, describe(Entry.Fields)});
  return Lines;
}

std::string request_story::conclusion() const {
  if (Own.empty())
    return "no line names the request";
  const std::string Error = textOf(Own.back().Fields, "error");
  if (Error.empty())
    return "it was answered";
  const auto Found = std::find_if(
      Explanations.begin(), Explanations.end(),
      [&](const explanation &Each) { return Each.Error == Error; });
  const std::string_view Cause =
      Found == Explanations.end() ? "see its reason" : Found->Text;
  return fmt::format("{}: {}", Error, Cause);
}

} // namespace pomelo
