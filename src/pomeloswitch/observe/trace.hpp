//! Trace spans of requests and control actions, exported as OTLP/JSON.
#ifndef POMELOSWITCH_OBSERVE_TRACE_HPP
#define POMELOSWITCH_OBSERVE_TRACE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelo {

//! One hop of a request. Ids are lowercase hexadecimal.
struct trace_span {
  std::string TraceId;      //!< 32 digits.
  std::string SpanId;       //!< 16 digits.
  std::string ParentSpanId; //!< 16 digits, or empty for a root span.
  std::string Name;
  std::chrono::system_clock::time_point Start;
  std::chrono::system_clock::time_point End;
  std::vector<std::pair<std::string, std::string>> Attributes;
  bool Failed = false;
};

//! The parsed content of a W3C traceparent header.
struct trace_context {
  std::string TraceId;
  std::string ParentSpanId;
  bool Sampled = false;
};

//! Parses a traceparent header of version 00. Returns an empty trace id if it
//! is not valid.
trace_context parseTraceParent(std::string_view Text);

//! Formats a traceparent header of version 00.
std::string formatTraceParent(std::string_view TraceId, std::string_view SpanId,
                              bool Sampled);

//! Formats \p Spans as one ExportTraceServiceRequest in JSON for the instance
//! \p Instance of \p Service.
std::string formatSpans(std::string_view Service, std::string_view Instance,
                        std::span<const trace_span> Spans);

//! Collects spans from any thread and appends them to a file, one line of
//! OTLP/JSON per batch. Spans beyond MaxPending are dropped and counted.
class span_sink {
public:
  static constexpr std::size_t MaxPending = 4096;

  //! Disabled if \p File is empty.
  //! \throws pomelo_error BadSettings if the file cannot be opened.
  span_sink(std::string Service, std::string Instance, const std::string &File);

  [[nodiscard]] bool enabled() const { return File.is_open(); }

  void add(trace_span Span);
  //! Writes the pending spans. Must be called by one thread only.
  void flush();
  //! Returns the number of spans dropped so far.
  [[nodiscard]] std::uint64_t dropped() const;

private:
  std::string Service;
  std::string Instance;
  std::ofstream File;
  mutable std::mutex Mutex;
  std::vector<trace_span> Pending;
  std::uint64_t Dropped = 0;
};

} // namespace pomelo

#endif
