//! Log events of a control host: committed changes of the replicated state and
//! results of orders to targets.
#ifndef POMELOSWITCH_CONTROL_DECISION_EVENTS_HPP
#define POMELOSWITCH_CONTROL_DECISION_EVENTS_HPP

#include "pomeloswitch/ownership/order_scheduler.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace pomelo::wire {
class command;
} // namespace pomelo::wire

namespace pomelo {

struct apply_result;

//! A structured log event. docs/OBSERVING.md lists the events and fields.
struct decision_event {
  std::string Name;
  boost::json::object Fields;
};

//! Returns the event for a command committed at \p Index, or none for commands
//! that concern single requests, which entry hosts log. Never contains an
//! account key.
[[nodiscard]] std::optional<decision_event>
eventFor(const wire::command &Command, const apply_result &Result,
         std::uint64_t Index);

//! Returns the event for an order and its result, or none for a successful
//! grant, since each grant is renewed every second.
[[nodiscard]] std::optional<decision_event>
eventFor(const target_order &Order, const order_result &Result);

} // namespace pomelo

#endif
