//! Counters and latency histograms of one thread, and their text form.
//!
//! A metric_set belongs to one thread and is not locked. To read it, that
//! thread copies it out; copies of several threads are merged.
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

//! Label names and values, in the order of their names.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

//! A distribution of durations with logarithmic buckets from 50 us to 60 s.
class latency_histogram {
public:
  latency_histogram();

  void add(std::chrono::nanoseconds Duration);
  void merge(const latency_histogram &Other);

  [[nodiscard]] std::uint64_t count() const { return Count; }
  [[nodiscard]] double sumSeconds() const { return SumSeconds; }

  //! The upper bound, in seconds, of the bucket that holds the given
  //! \p Fraction of the durations; 0 if there are none.
  [[nodiscard]] double quantileSeconds(double Fraction) const;

  //! Pairs of upper bound in seconds and the count at or below it.
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

class metric_set {
public:
  //! Series of one name beyond this many go to one whose label values are
  //! "other", so that callers cannot grow the set without bound.
  static constexpr std::size_t MaxSeriesPerName = 256;

  void increment(std::string_view Name, const metric_labels &Labels = {},
                 std::uint64_t By = 1);
  void setGauge(std::string_view Name, const metric_labels &Labels,
                double Value);
  void observe(std::string_view Name, const metric_labels &Labels,
               std::chrono::nanoseconds Duration);

  void merge(const metric_set &Other);

  //! All series in the Prometheus text format, version 0.0.4.
  [[nodiscard]] std::string text() const;

  [[nodiscard]] std::uint64_t counter(std::string_view Name,
                                      const metric_labels &Labels = {}) const;

private:
  template <typename Value>
  using family = std::map<metric_labels, Value, std::less<>>;
  template <typename Value>
  using families = std::map<std::string, family<Value>, std::less<>>;

  template <typename Value>
  static Value &seriesOf(families<Value> &Families, std::string_view Name,
                         const metric_labels &Labels);

  families<std::uint64_t> Counters;
  families<double> Gauges;
  families<latency_histogram> Histograms;
};

} // namespace pomelo

#endif
