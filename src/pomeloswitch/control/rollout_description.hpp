//! Roll-outs as operators see them: JSON descriptions and metrics.
#ifndef POMELOSWITCH_CONTROL_ROLLOUT_DESCRIPTION_HPP
#define POMELOSWITCH_CONTROL_ROLLOUT_DESCRIPTION_HPP

#include "pomeloswitch/observe/metrics.hpp"
#include "pomeloswitch/state/rollout_table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <string_view>

namespace pomelo {

//! Returns the fields of the latest roll-out of \p Service.
boost::json::object describeRollout(std::string_view Service,
                                    const rollout &Rollout);

//! Returns the latest roll-out of each service, ordered by service.
boost::json::array describeRollouts(const rollout_table &Rollouts);

//! Sets the gauges pomelo_rollout_stage and pomelo_rollout_share of each
//! service that has had a roll-out.
void exportRollouts(const rollout_table &Rollouts, metric_set &Metrics);

} // namespace pomelo

#endif
