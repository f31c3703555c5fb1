//! Decides whether the link can take a request's body in time.
#ifndef POMELOSWITCH_SENDING_BODY_ADMISSION_HPP
#define POMELOSWITCH_SENDING_BODY_ADMISSION_HPP

#include "pomeloswitch/sending/link_pacer.hpp"

#include <chrono>
#include <cstdint>

namespace pomelo {

//! A body that has yet to be sent to a target.
struct body_request {
  std::uint64_t Bytes = 0;
  std::chrono::steady_clock::time_point Deadline;
  std::chrono::milliseconds LatencyGoal{0}; //!< 0 if the route has none.
};

//! Counts the body as pending at \p Link. One that fits in a single piece is
//! not counted. \throws pomelo_error Overloaded with a retry time if the bodies
//! before it keep the link for too long.
[[nodiscard]] link_pacer::pending_body
admitBody(link_pacer &Link, const body_request &Body,
          std::chrono::steady_clock::time_point Now);

} // namespace pomelo

#endif
