//! What one traffic thread knows for deciding where requests go.
#ifndef POMELOSWITCH_SENDING_SEND_STATE_HPP
#define POMELOSWITCH_SENDING_SEND_STATE_HPP

#include "pomeloswitch/routing/cold_gate.hpp"
#include "pomeloswitch/routing/slot_meter.hpp"
#include "pomeloswitch/routing/target_book.hpp"
#include "pomeloswitch/routing/target_choice.hpp"
#include "pomeloswitch/routing/wait_ranks.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace pomelo {

struct send_state {
  explicit send_state(std::string FailureDomain = {}, std::uint64_t Seed = 0)
      : FailureDomain(std::move(FailureDomain)), Random(Seed) {}

  std::string FailureDomain; //!< Of this entry host.
  random_engine Random;
  target_book Book;
  cold_gate ColdGate;
  wait_ranks Waiting;
  slot_meter Arrivals;
};

} // namespace pomelo

#endif
