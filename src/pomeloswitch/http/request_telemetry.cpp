#include "pomeloswitch/http/request_telemetry.hpp"

#include <fmt/format.h>

namespace pomelo {
namespace {

using std::chrono::steady_clock;
using std::chrono::system_clock;

} // namespace

request_telemetry::request_telemetry(std::string_view TraceParent,
                                     std::mt19937_64 &Random)
    : Incoming(parseTraceParent(TraceParent)), TraceId(Incoming.TraceId),
      SpanId(fmt::format("{:016x}", Random() | 1)), Start(steady_clock::now()),
      StartUtc(system_clock::now()) {
  if (TraceId.empty())
    TraceId = fmt::format("{:016x}{:016x}", Random(), Random() | 1);
}

std::string request_telemetry::traceParentForTarget() const {
  return formatTraceParent(TraceId, SpanId, true);
}

void request_telemetry::routed(std::string_view NewRoute,
                               std::string_view NewService,
                               std::string_view NewAccount) {
  Route = NewRoute;
  Service = NewService;
  Account = NewAccount;
}

void request_telemetry::dispatched(std::string_view NewTarget) {
  ++Attempts;
  Target = NewTarget;
  DispatchedAt = steady_clock::now();
}

void request_telemetry::answered(metric_set &Metrics) {
  Metrics.observe("pomelo_upstream_seconds",
                  {{"service", Service}, {"target", Target}},
                  steady_clock::now() - DispatchedAt);
}

std::string_view request_telemetry::outcome() const {
  return Failure ? answerFor(*Failure).Name : std::string_view("ok");
}

void request_telemetry::close(metric_set &Metrics, span_sink *Spans) {
  Metrics.increment("pomelo_requests_total",
                    {{"account", Account},
                     {"outcome", std::string(outcome())},
                     {"service", Service}});
  Metrics.observe("pomelo_request_seconds", {{"service", Service}},
                  steady_clock::now() - Start);
  if (Spans && Spans->enabled())
    Spans->add(makeSpan());
}

trace_span request_telemetry::makeSpan() const {
  trace_span Span;
  Span.TraceId = TraceId;
  Span.SpanId = SpanId;
  Span.ParentSpanId = Incoming.ParentSpanId;
  Span.Name = "entry";
  Span.Start = StartUtc;
  Span.End = StartUtc + std::chrono::duration_cast<system_clock::duration>(
                            steady_clock::now() - Start);
  Span.Attributes = {{"pomelo.route", Route},
                     {"pomelo.service", Service},
                     {"pomelo.account", Account},
                     {"pomelo.target", Target},
                     {"pomelo.attempts", std::to_string(Attempts)}};
  if (SlotNumber)
    Span.Attributes.emplace_back("pomelo.slot", std::to_string(*SlotNumber));
  if (Failure)
    Span.Attributes.emplace_back("pomelo.error",
                                 std::string(answerFor(*Failure).Name));
  Span.Failed = Failure.has_value();
  return Span;
}

} // namespace pomelo
