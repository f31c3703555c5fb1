#include "standin_target/behaviour.hpp"

#include "pomeloswitch/settings/common_settings.hpp"

#include <boost/json.hpp>

namespace pomelo::standin {
namespace {

namespace json = boost::json;

constexpr std::string_view ControlSchema = R"json({
  "type": "object", "additionalProperties": false,
  "properties": {
    "slow_factor": {"type": "number", "exclusiveMinimum": 0},
    "frozen": {"type": "boolean"},
    "cold": {"type": "boolean"},
    "health": {"enum": ["ok", "failing"]},
    "load_lag_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
    "load_claimed": {"type": "integer", "minimum": -1}
  }
})json";

} // namespace

behaviour::behaviour(const target_options &Options)
    : Options(Options), ColdLeft(Options.ColdRequests) {}

void behaviour::control(std::string_view Body) {
  const json::value Document = parseDocument(
      {"stand-in control", ControlSchema, error_kind::BadRequest}, Body);
  const json::object &Object = Document.as_object();
  SlowFactor = doubleField(Object, "slow_factor", SlowFactor);
  Frozen = boolField(Object, "frozen", Frozen);
  if (Object.contains("cold"))
    ColdLeft = boolField(Object, "cold", false) ? Options.ColdRequests : 0;
  ReportsHealthy =
      stringField(Object, "health", ReportsHealthy ? "ok" : "failing") == "ok";
  LoadLag = std::chrono::milliseconds(
      integerField(Object, "load_lag_ms", LoadLag.count()));
  LoadClaimed = integerField(Object, "load_claimed", LoadClaimed);
}

std::chrono::microseconds behaviour::work() const {
  const double Factor = SlowFactor * (cold() ? Options.ColdFactor : 1);
  return std::chrono::duration_cast<std::chrono::microseconds>(Options.Work *
                                                               Factor);
}

bool behaviour::shedsCold(std::uint32_t Open) const {
  return cold() && Open > Options.ColdOpenRequests;
}

void behaviour::requestServed() {
  if (ColdLeft > 0)
    --ColdLeft;
}

json::object behaviour::reportLoad(const load_report &Now) {
  History.push_back(Now);
  while (History.size() > 1 && History[1].At + LoadLag <= Now.At)
    History.pop_front();
  const load_report &Reported = History.front();
  return {{"running", LoadClaimed >= 0
                          ? LoadClaimed
                          : static_cast<std::int64_t>(Reported.Running)},
          {"queued", Reported.Queued},
          {"slots", Options.Slots}};
}

} // namespace pomelo::standin
