#include "pomeloswitch/observe/metrics.hpp"

#include <fmt/format.h>

#include <iterator>

namespace pomelo {
namespace {

namespace bh = boost::histogram;

constexpr unsigned BucketCount = 56; //!< Bounds grow by a factor of about 1.28.
constexpr double LowestSeconds = 50e-6;
constexpr double HighestSeconds = 60.0;
constexpr std::string_view OtherValue = "other";

std::string escapeLabelValue(std::string_view Value) {
  std::string Text;
  for (const char Character : Value) {
    if (Character == '\n') {
      Text += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Text.push_back('\\');
    Text.push_back(Character);
  }
  return Text;
}

//! Formats labels as {a="b",c="d"}. \p Extra is an already formatted label that
//! is appended.
std::string formatLabels(const metric_labels &Labels,
                         std::string_view Extra = {}) {
  std::string Text;
  for (const auto &[Name, Value] : Labels)
    Text += fmt::format("{}{}=\"{}\"", Text.empty() ? "" : ",", Name,
                        escapeLabelValue(Value));
  if (!Extra.empty())
    Text += fmt::format("{}{}", Text.empty() ? "" : ",", Extra);
  return Text.empty() ? Text : fmt::format("{{{}}}", Text);
}

void writeHistogram(std::back_insert_iterator<std::string> Out,
                    std::string_view Name, const metric_labels &Labels,
                    const latency_histogram &Histogram) {
  for (const auto &[Bound, Count] : Histogram.cumulative())
    fmt::format_to(Out, "{}_bucket{} {}\n", Name,
                   formatLabels(Labels, fmt::format("le=\"{:.6g}\"", Bound)),
                   Count);
  fmt::format_to(Out, "{}_bucket{} {}\n", Name,
                 formatLabels(Labels, "le=\"+Inf\""), Histogram.count());
  fmt::format_to(Out, "{}_sum{} {:.9g}\n", Name, formatLabels(Labels),
                 Histogram.sumSeconds());
  fmt::format_to(Out, "{}_count{} {}\n", Name, formatLabels(Labels),
                 Histogram.count());
}

} // namespace

latency_histogram::latency_histogram()
    : Buckets(bh::make_histogram_with(
          storage(), log_axis(BucketCount, LowestSeconds, HighestSeconds))) {}

void latency_histogram::add(std::chrono::nanoseconds Duration) {
  const double Seconds = std::chrono::duration<double>(Duration).count();
  Buckets(Seconds);
  ++Count;
  SumSeconds += Seconds;
}

void latency_histogram::merge(const latency_histogram &Other) {
  Buckets += Other.Buckets;
  Count += Other.Count;
  SumSeconds += Other.SumSeconds;
}

std::vector<std::pair<double, std::uint64_t>>
latency_histogram::cumulative() const {
  std::vector<std::pair<double, std::uint64_t>> Pairs;
  std::uint64_t CumulativeCount = Buckets.at(-1);
  for (int Index = 0; Index < Buckets.axis().size(); ++Index) {
    CumulativeCount += Buckets.at(Index);
    Pairs.emplace_back(Buckets.axis().bin(Index).upper(), CumulativeCount);
  }
  return Pairs;
}

double latency_histogram::quantileSeconds(double Fraction) const {
  if (Count == 0)
    return 0;
  const double TargetCount = Fraction * static_cast<double>(Count);
  for (const auto &[Bound, CumulativeCount] : cumulative())
    if (static_cast<double>(CumulativeCount) >= TargetCount)
      return Bound;
  return HighestSeconds;
}

template <typename Value>
Value &metric_set::findOrAddSeries(families<Value> &Families,
                                   std::string_view Name,
                                   const metric_labels &Labels) {
  auto Family = Families.find(Name);
  if (Family == Families.end())
    Family = Families.emplace(std::string(Name), family<Value>()).first;
  const auto Series = Family->second.find(Labels);
  if (Series != Family->second.end())
    return Series->second;
  if (Family->second.size() < MaxSeriesPerName)
    return Family->second[Labels];
  metric_labels Other = Labels;
  for (auto &[Label, LabelValue] : Other)
    LabelValue = OtherValue;
  return Family->second[Other];
}

void metric_set::increment(std::string_view Name, const metric_labels &Labels,
                           std::uint64_t Amount) {
  findOrAddSeries(Counters, Name, Labels) += Amount;
}

void metric_set::setGauge(std::string_view Name, const metric_labels &Labels,
                          double Value) {
  findOrAddSeries(Gauges, Name, Labels) = Value;
}

void metric_set::observe(std::string_view Name, const metric_labels &Labels,
                         std::chrono::nanoseconds Duration) {
  findOrAddSeries(Histograms, Name, Labels).add(Duration);
}

void metric_set::merge(const metric_set &Other) {
  for (const auto &[Name, Family] : Other.Counters)
    for (const auto &[Labels, Value] : Family)
      findOrAddSeries(Counters, Name, Labels) += Value;
  for (const auto &[Name, Family] : Other.Gauges)
    for (const auto &[Labels, Value] : Family)
      findOrAddSeries(Gauges, Name, Labels) += Value;
  for (const auto &[Name, Family] : Other.Histograms)
    for (const auto &[Labels, Value] : Family)
      findOrAddSeries(Histograms, Name, Labels).merge(Value);
}

std::uint64_t metric_set::counter(std::string_view Name,
                                  const metric_labels &Labels) const {
  const auto Family = Counters.find(Name);
  if (Family == Counters.end())
    return 0;
  const auto Series = Family->second.find(Labels);
  return Series == Family->second.end() ? 0 : Series->second;
}

std::string metric_set::text() const {
  std::string Text;
  const auto Out = std::back_inserter(Text);
  for (const auto &[Name, Family] : Counters) {
    fmt::format_to(Out, "# TYPE {} counter\n", Name);
    for (const auto &[Labels, Value] : Family)
      fmt::format_to(Out, "{}{} {}\n", Name, formatLabels(Labels), Value);
  }
  for (const auto &[Name, Family] : Gauges) {
    fmt::format_to(Out, "# TYPE {} gauge\n", Name);
    for (const auto &[Labels, Value] : Family)
      fmt::format_to(Out, "{}{} {:.9g}\n", Name, formatLabels(Labels), Value);
  }
  for (const auto &[Name, Family] : Histograms) {
    fmt::format_to(Out, "# TYPE {} histogram\n", Name);
    for (const auto &[Labels, Value] : Family)
      writeHistogram(Out, Name, Labels, Value);
  }
  return Text;
}

} // namespace pomelo
