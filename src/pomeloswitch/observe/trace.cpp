#include "pomeloswitch/observe/trace.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace pomelo {
namespace {

namespace json = boost::json;

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t TraceParentLength = 55;
constexpr int ServerSpanKind = 2; // SPAN_KIND_SERVER
constexpr int OkStatus = 1;       // STATUS_CODE_OK
constexpr int ErrorStatus = 2;    // STATUS_CODE_ERROR

bool isValidId(std::string_view Text) {
  const bool Hex =
      Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  const bool Zero = Text.find_first_not_of('0') == std::string_view::npos;
  return Hex && !Zero;
}

json::object makeAttribute(std::string_view Name, std::string_view Value) {
  return {{"key", Name}, {"value", json::object{{"stringValue", Value}}}};
}

std::string unixNanos(std::chrono::system_clock::time_point Time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            Time.time_since_epoch())
                            .count());
}

json::object toJson(const trace_span &Span) {
  json::array Attributes;
  for (const auto &[Name, Value] : Span.Attributes)
    Attributes.push_back(makeAttribute(Name, Value));
  return {
      {"traceId", Span.TraceId},
      {"spanId", Span.SpanId},
      {"parentSpanId", Span.ParentSpanId},
      {"name", Span.Name},
      {"kind", ServerSpanKind},
      {"startTimeUnixNano", unixNanos(Span.Start)},
      {"endTimeUnixNano", unixNanos(Span.End)},
      {"attributes", std::move(Attributes)},
      {"status", json::object{{"code", Span.Failed ? ErrorStatus : OkStatus}}}};
}

} // namespace

trace_context parseTraceParent(std::string_view Text) {
  if (Text.size() != TraceParentLength || !Text.starts_with("00-") ||
      Text[35] != '-' || Text[52] != '-')
    return {};
  trace_context Context;
  Context.TraceId = Text.substr(3, TraceIdDigits);
  Context.ParentSpanId = Text.substr(36, SpanIdDigits);
  if (!isValidId(Context.TraceId) || !isValidId(Context.ParentSpanId))
    return {};
  Context.Sampled = Text.back() == '1' || Text.back() == '3';
  return Context;
}

std::string formatTraceParent(std::string_view TraceId, std::string_view SpanId,
                              bool Sampled) {
  return fmt::format("00-{}-{}-0{}", TraceId, SpanId, Sampled ? 1 : 0);
}

std::string formatSpans(std::string_view Service, std::string_view Instance,
                        std::span<const trace_span> Spans) {
  json::array JsonSpans;
  for (const trace_span &Span : Spans)
    JsonSpans.push_back(toJson(Span));
  const json::object Scope{{"scope", json::object{{"name", "pomeloswitch"}}},
                           {"spans", std::move(JsonSpans)}};
  const json::object Resource{
      {"attributes",
       json::array{makeAttribute("service.name", Service),
                   makeAttribute("service.instance.id", Instance)}}};
  return json::serialize(json::object{
      {"resourceSpans",
       json::array{json::object{{"resource", Resource},
                                {"scopeSpans", json::array{Scope}}}}}});
}

span_sink::span_sink(std::string Service, std::string Instance,
                     const std::string &Path)
    : Service(std::move(Service)), Instance(std::move(Instance)) {
  if (Path.empty())
    return;
  File.open(Path, std::ios::app);
  if (!File)
    throw pomelo_error(
        error_kind::BadSettings,
        fmt::format("the trace file \"{}\" cannot be opened", Path));
}

void span_sink::add(trace_span Span) {
  if (!enabled())
    return;
  const std::lock_guard Lock(Mutex);
  if (Pending.size() >= MaxPending) {
    ++Dropped;
    return;
  }
  Pending.push_back(std::move(Span));
}

void span_sink::flush() {
  std::vector<trace_span> Batch;
  {
    const std::lock_guard Lock(Mutex);
    Batch.swap(Pending);
  }
  if (!Batch.empty())
    File << formatSpans(Service, Instance, Batch) << '\n' << std::flush;
}

std::uint64_t span_sink::dropped() const {
  const std::lock_guard Lock(Mutex);
  return Dropped;
}

} // namespace pomelo
