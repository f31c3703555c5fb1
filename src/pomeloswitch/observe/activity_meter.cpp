#include "pomeloswitch/observe/activity_meter.hpp"

#include <boost/json/value.hpp>

#include <string>

namespace pomelo {

activity_meter::activity_meter(std::span<const std::string_view> Names)
    : Names(Names), Totals(Names.size()), Reported(Names.size()) {}

void activity_meter::add(std::size_t Activity,
                         std::chrono::nanoseconds Duration) {
  ++Totals[Activity].Count;
  Totals[Activity].Busy += Duration;
}

boost::json::object activity_meter::takeReport() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  boost::json::object Report;
  for (std::size_t Activity = 0; Activity < Names.size(); ++Activity) {
    const std::uint64_t Count =
        Totals[Activity].Count - Reported[Activity].Count;
    const auto Busy = Totals[Activity].Busy - Reported[Activity].Busy;
    if (Count > 0)
      Report[Names[Activity]] = boost::json::object{
          {"count", Count},
          {"busy_ms", duration_cast<milliseconds>(Busy).count()}};
  }
  Reported = Totals;
  return Report;
}

void activity_meter::exportTo(metric_set &Metrics) const {
  for (std::size_t Activity = 0; Activity < Names.size(); ++Activity) {
    const metric_labels Labels{{"activity", std::string(Names[Activity])}};
    const std::chrono::duration<double> Busy = Totals[Activity].Busy;
    Metrics.setGauge("pomelo_activity_count", Labels,
                     static_cast<double>(Totals[Activity].Count));
    Metrics.setGauge("pomelo_activity_seconds", Labels, Busy.count());
  }
}

} // namespace pomelo
