//! What is decided about a request before it goes anywhere.
#ifndef POMELOSWITCH_HTTP_REQUEST_PLAN_HPP
#define POMELOSWITCH_HTTP_REQUEST_PLAN_HPP

#include "pomeloswitch/http/stream_parsers.hpp"
#include "pomeloswitch/http/upstream_pool.hpp"
#include "pomeloswitch/settings/rules.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

struct traffic_context;

struct request_plan {
  route Route;
  std::string Service; //!< Of the route's parts, the one drawn for it.
  std::uint32_t Priority = 0;
  bool RateLimited = false;
  std::string Account; //!< Empty on routes open to all.
  std::optional<std::string> Key;
  //! Hash of the Idempotency-Key where the request is claimed by it.
  std::optional<std::string> ClaimKeyHash;
  steady_time Deadline;
  //! The account keys that the caller's was found in.
  std::shared_ptr<const key_map> Keys;
  std::int64_t DeadlineUnixMs = 0;
};

//! Finds the route, the client account and the key of a request.
//! \throws pomelo_error with a kind that tells that nothing ran.
request_plan makeRequestPlan(const request_stream_parser &Request,
                             traffic_context &Context);

} // namespace pomelo

#endif
