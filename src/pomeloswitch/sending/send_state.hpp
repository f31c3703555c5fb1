//! State of one traffic thread for choosing the targets of requests.
#ifndef POMELOSWITCH_SENDING_SEND_STATE_HPP
#define POMELOSWITCH_SENDING_SEND_STATE_HPP

#include "pomeloswitch/routing/arrival_rates.hpp"
#include "pomeloswitch/routing/cold_target_limiter.hpp"
#include "pomeloswitch/routing/owner_shares.hpp"
#include "pomeloswitch/routing/slot_rate_meter.hpp"
#include "pomeloswitch/routing/target_choice.hpp"
#include "pomeloswitch/routing/target_notices.hpp"
#include "pomeloswitch/routing/target_statistics.hpp"
#include "pomeloswitch/routing/wait_queues.hpp"
#include "pomeloswitch/sending/link_pacer.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace pomelo {

struct send_state {
  explicit send_state(std::string FailureDomain = {}, std::uint64_t Seed = 0)
      : FailureDomain(std::move(FailureDomain)), Random(Seed) {}

  //! Whether the target is cold, or may be after a restart.
  [[nodiscard]] bool isCold(const routing_target &Target,
                            target_statistics::time_point Now) const {
    return Target.Member.Cold || Statistics.mayBeCold(Target, Now);
  }

  std::string FailureDomain; //!< Of this entry host.
  random_engine Random;
  target_statistics Statistics;
  target_notices Notices;
  cold_target_limiter ColdLimiter;
  owner_shares OwnerShares;
  wait_queues WaitQueues;
  slot_rate_meter SlotRates;
  arrival_rates Arrivals; //!< Of requests without a key.
  link_pacer Link;
};

} // namespace pomelo

#endif
