//! What became of one request, for metrics and traces.
#ifndef POMELOSWITCH_HTTP_REQUEST_RECORD_HPP
#define POMELOSWITCH_HTTP_REQUEST_RECORD_HPP

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/observe/metrics.hpp"
#include "pomeloswitch/observe/trace.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace pomelo {

//! Filled in while a request is served; close() counts it and emits its span.
class request_record {
public:
  //! Continues the trace of \p TraceParent or begins one.
  request_record(std::string_view TraceParent, std::mt19937_64 &Random);

  //! The traceparent for the target, whose parent is this hop.
  [[nodiscard]] std::string traceParentForTarget() const;

  void routed(std::string_view Route, std::string_view Service,
              std::string_view Account);
  void slotFound(std::uint32_t Slot) { SlotNumber = Slot; }
  //! An attempt goes to \p Target now.
  void dispatched(std::string_view Target);
  //! The header of that attempt's answer has come.
  void answered(metric_set &Metrics);
  void failed(error_kind Kind) { Failure = Kind; }

  //! Counts the request in \p Metrics and hands its span to \p Spans, which
  //! may be null.
  void close(metric_set &Metrics, span_sink *Spans);

private:
  [[nodiscard]] std::string_view outcome() const;
  [[nodiscard]] trace_span makeSpan() const;

  trace_context Incoming;
  std::string TraceId;
  std::string SpanId;
  std::chrono::steady_clock::time_point Start;
  std::chrono::system_clock::time_point WallStart;
  std::chrono::steady_clock::time_point DispatchedAt;
  std::string Route;
  std::string Service;
  std::string Account;
  std::string Target;
  std::optional<std::uint32_t> SlotNumber;
  std::optional<error_kind> Failure;
  unsigned Attempts = 0;
};

} // namespace pomelo

#endif
