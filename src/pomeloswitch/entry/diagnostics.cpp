#include "pomeloswitch/entry/diagnostics.hpp"

#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch/state/key_slot.hpp"

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
  const json::object &Wanted = Parsed.as_object();
  const std::string Service = textField(Wanted, "service");
  const std::string Key = textField(Wanted, "key");
  const auto Table = State().slotsPart(Service);
  if (!Table)
    throw pomelo_error(
        error_kind::NotFound,
        fmt::format("there is no service \"{}\" divided by key", Service));
  const std::uint32_t Number =
      slotOfKey(Key, static_cast<std::uint32_t>(Table->size()));
  const owned_slot &Slot = (*Table)[Number];
  return json::serialize(json::object{{"index", State().index()},
                                      {"slot", Number},
                                      {"owner", Slot.Owner},
                                      {"token", Slot.Token}});
}

} // namespace pomelo
