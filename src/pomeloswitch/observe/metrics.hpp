//! Counters, gauges and latency histograms of one thread, with text export.
//!
//! A metric_set belongs to one thread and has no lock. To export it, its thread
//! makes a copy; the copies of several threads are merged.
#ifndef POMELOSWITCH_OBSERVE_METRICS_HPP
#define POMELOSWITCH_OBSERVE_METRICS_HPP

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelo {

//! Label names and values, ordered by name.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

//! Histogram of durations with logarithmic buckets from 50 us to 60 s.
class latency_histogram {
public:
  latency_histogram();

  void add(std::chrono::nanoseconds Duration);
  void merge(const latency_histogram &Other);

  [[nodiscard]] std::uint64_t count() const { return Count; }
  [[nodiscard]] double sumSeconds() const { return SumSeconds; }

  //! Estimates the \p Fraction quantile as the upper bound, in seconds, of its
  //! bucket; 60 s above the last bucket, 0 without any durations.
  [[nodiscard]] double quantileSeconds(double Fraction) const;

  //! Returns, for each bucket, its upper bound in seconds and the number of
  //! durations below that bound.
  [[nodiscard]] std::vector<std::pair<double, std::uint64_t>>
  cumulative() const;

private:
  using log_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using storage = boost::histogram::dense_storage<std::uint64_t>;

  boost::histogram::histogram<std::tuple<log_axis>, storage> Buckets;
  std::uint64_t Count = 0;
  double SumSeconds = 0;
};

//! The metric series of one thread, identified by name and labels.
class metric_set {
public:
  //! Maximum number of series per name. Further label values are counted in one
  //! series with the label value "other", so that callers cannot make the set
  //! grow without bound.
  static constexpr std::size_t MaxSeriesPerName = 256;

  void increment(std::string_view Name, const metric_labels &Labels = {},
                 std::uint64_t Amount = 1);
  void setGauge(std::string_view Name, const metric_labels &Labels,
                double Value);
  void observe(std::string_view Name, const metric_labels &Labels,
               std::chrono::nanoseconds Duration);

  //! Adds all counters, gauges and histograms of \p Other.
  void merge(const metric_set &Other);

  //! Returns all series in the Prometheus text format, version 0.0.4.
  [[nodiscard]] std::string text() const;

  //! Returns the value of a counter; 0 if it does not exist.
  [[nodiscard]] std::uint64_t counter(std::string_view Name,
                                      const metric_labels &Labels = {}) const;

private:
  template <typename Value>
  using family = std::map<metric_labels, Value, std::less<>>;
  template <typename Value>
  using families = std::map<std::string, family<Value>, std::less<>>;

  template <typename Value>
  static Value &findOrAddSeries(families<Value> &Families,
                                std::string_view Name,
                                const metric_labels &Labels);

  families<std::uint64_t> Counters;
  families<double> Gauges;
  families<latency_histogram> Histograms;
};

} // namespace pomelo

#endif
