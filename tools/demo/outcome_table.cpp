#include "demo/outcome_table.hpp"

#include "demo/demo_plan.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace pomelo::demo {
namespace {

namespace json = boost::json;

constexpr double MaxUnavailableSeconds = 4;
constexpr double MaxRefusedWithinRatePercent = 0.1;
constexpr double Percent = 100;
//! Large enough that two probed keys are unlikely to share a slot.
constexpr std::uint32_t ProbeSlots = 1 << 20;

std::vector<caller::outcome>
selectProbes(const std::vector<caller::outcome> &Outcomes) {
  std::vector<caller::outcome> Probes;
  std::copy_if(Outcomes.begin(), Outcomes.end(), std::back_inserter(Probes),
               [](const caller::outcome &Outcome) {
                 return Outcome.Request.Id.starts_with(ProbePrefix);
               });
  return Probes;
}

} // namespace

outcome_table::outcome_table(const judge::evidence &Evidence) {
  for (judge::finding &Finding : judge::findViolations(Evidence))
    Rows.push_back({std::move(Finding.Name), "cases",
                    static_cast<double>(Finding.Count), 0,
                    std::move(Finding.Examples)});
  addMeasures(Evidence);
}

void outcome_table::addMeasures(const judge::evidence &Evidence) {
  const auto Refusals =
      judge::countRefusalsWithinRate(Evidence.Outcomes, Evidence.Rates);
  add({"refused_within_rate",
       "%",
       Percent * static_cast<double>(Refusals) /
           static_cast<double>(
               std::max<std::size_t>(1, Evidence.Outcomes.size())),
       MaxRefusedWithinRatePercent,
       {}});
  const auto Unavailable = judge::measureUnavailableTime(
      selectProbes(Evidence.Outcomes), {{"/reports/", ProbeSlots}});
  add({"longest_unavailable_key",
       "s",
       Unavailable.LongestSeconds,
       MaxUnavailableSeconds,
       {}});
}

void outcome_table::print() const {
  fmt::print("\n{:<26}{:>12}{:>12}  {:<6}\n", "outcome", "value", "bound",
             "unit");
  for (const outcome_row &Row : Rows) {
    fmt::print("{:<26}{:>12.3f}{:>12.3f}  {:<6}{}\n", Row.Name, Row.Value,
               Row.Bound, Row.Unit, Row.met() ? "" : "  NOT MET");
    if (!Row.met())
      for (const std::string &Example : Row.Examples)
        fmt::print("    {}\n", Example);
  }
}

json::object outcome_table::describe() const {
  json::array Items;
  for (const outcome_row &Row : Rows)
    Items.push_back(json::object{{"name", Row.Name},
                                 {"value", Row.Value},
                                 {"bound", Row.Bound},
                                 {"unit", Row.Unit},
                                 {"met", Row.met()},
                                 {"examples", json::value_from(Row.Examples)}});
  return {{"outcomes", std::move(Items)}, {"all_met", allMet()}};
}

bool outcome_table::allMet() const {
  return std::all_of(Rows.begin(), Rows.end(),
                     [](const outcome_row &Row) { return Row.met(); });
}

} // namespace pomelo::demo
