#include "pomeloswitch/entry/diagnostics.hpp"

#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch/state/cluster_state.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace pomelo {

namespace json = boost::json;

diagnostics::diagnostics(std::function<std::string()> Describe,
                         std::function<const cluster_state &()> State)
    : State(std::move(State)) {
  Dispatcher.add("describe", [Describe = std::move(Describe)](
                                 const std::string &) { return Describe(); });
  Dispatcher.add("explain", [this](const std::string &Parameters) {
    return explain(Parameters);
  });
}

std::string diagnostics::explain(const std::string &Parameters) const {
  const json::value Parsed = json::parse(Parameters);
  const json::object &Query = Parsed.as_object();
  const std::string Service = stringField(Query, "service");
  const std::string Key = stringField(Query, "key");
  const std::uint32_t Number = State().slotNumberOf(Service, Key);
  const auto Table = State().sharedSlots(Service);
  const slot_ownership &Slot = (*Table)[Number];
  return json::serialize(json::object{{"index", State().index()},
                                      {"slot", Number},
                                      {"owner", Slot.Owner},
                                      {"token", Slot.Token}});
}

} // namespace pomelo
