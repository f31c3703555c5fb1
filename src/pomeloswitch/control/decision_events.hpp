//! What a control host logs of its decisions: committed changes of what the
//! group believes, and orders to targets that did not go as usual.
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

//! A log line's event; fields as in docs/OBSERVING.md.
struct decision_event {
  std::string Name;
  boost::json::object Fields;
};

//! The event of a command that was committed at \p Index; none for commands
//! that concern single requests, which entry hosts log. Never holds a key.
[[nodiscard]] std::optional<decision_event>
eventOf(const wire::command &Command, const apply_result &Result,
        std::uint64_t Index);

//! The event of an order and its result; none for a grant that was done, since
//! each is renewed every second.
[[nodiscard]] std::optional<decision_event> eventOf(const target_order &Order,
                                                    const order_result &Result);

} // namespace pomelo

#endif
