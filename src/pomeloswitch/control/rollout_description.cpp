#include "pomeloswitch/control/rollout_description.hpp"

namespace pomelo {
namespace {

namespace json = boost::json;

double shareOf(const rollout &Rollout) {
  return Rollout.SharePermille / double{WholeShare};
}

} // namespace

json::object describeRollout(std::string_view Service, const rollout &Rollout) {
  return {{"service", Service},
          {"version", Rollout.Version},
          {"stage", toString(Rollout.Stage)},
          {"share", shareOf(Rollout)},
          {"reason", Rollout.Reason},
          {"started_ms", Rollout.StartedMs},
          {"duration_ms", Rollout.DurationMs},
          {"started_index", Rollout.StartedIndex},
          {"changed_index", Rollout.ChangedIndex}};
}

json::array describeRollouts(const rollout_table &Rollouts) {
  json::array Descriptions;
  for (const auto &[Service, Rollout] : Rollouts)
    Descriptions.push_back(describeRollout(Service, Rollout));
  return Descriptions;
}

void exportRollouts(const rollout_table &Rollouts, metric_set &Metrics) {
  for (const auto &[Service, Rollout] : Rollouts) {
    const metric_labels Labels{{"service", Service}};
    Metrics.setGauge("pomelo_rollout_stage", Labels,
                     static_cast<double>(Rollout.Stage));
    Metrics.setGauge("pomelo_rollout_share", Labels, shareOf(Rollout));
  }
}

} // namespace pomelo
