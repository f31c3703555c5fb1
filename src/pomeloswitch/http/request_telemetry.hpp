//! Metrics and trace span of one request.
#ifndef POMELOSWITCH_HTTP_REQUEST_TELEMETRY_HPP
#define POMELOSWITCH_HTTP_REQUEST_TELEMETRY_HPP

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

//! Collects data while a request is served; close() updates the metrics and
//! emits the trace span.
class request_telemetry {
public:
  //! Continues the trace of \p TraceParent, or starts a new one if it is empty
  //! or invalid.
  request_telemetry(std::string_view TraceParent, std::mt19937_64 &Random);

  //! Returns the traceparent for the target, with this hop's span as the
  //! parent.
  [[nodiscard]] std::string traceParentForTarget() const;

  void routed(std::string_view Route, std::string_view Service,
              std::string_view Account);
  void slotResolved(std::uint32_t Slot) { SlotNumber = Slot; }
  //! Records that an attempt is about to be sent to \p Target.
  void dispatched(std::string_view Target);
  //! Records that the response header of the latest attempt has arrived.
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
  std::chrono::system_clock::time_point StartUtc;
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
