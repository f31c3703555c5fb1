//! Routing decisions that are made before a request is sent.
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

//! Routing decisions for one request.
struct request_plan {
  // The state that the plan was made by.
  std::uint64_t ConfigNumber = 0; //!< Given by the operators, for logs.
  std::uint64_t Index = 0;
  std::shared_ptr<const rules> Rules;
  route Route;
  std::string Service; //!< Selected by weight from the route's parts.
  std::uint32_t Priority = 0;
  bool RateLimited = false;
  std::string Account; //!< Empty on routes with open access.
  std::optional<std::string> Key;
  //! Hash of the Idempotency-Key; empty if the request needs no claim.
  std::optional<std::string> ClaimKeyHash;
  steady_time Deadline;
  //! Account keys against which the caller was authenticated.
  std::shared_ptr<const key_map> Keys;
  std::int64_t DeadlineUnixMs = 0;

  //! Whether \p View has the rules and the keys that the plan was made by.
  [[nodiscard]] bool madeBy(const routing_view &View) const {
    return View.Rules == Rules && View.Keys == Keys;
  }
};

//! Determines the route, the client account and the key of a request.
//! \p ChosenPart is the service that an earlier plan selected; it is kept if
//! the route still has it.
//! \throws pomelo_error with an error kind whose run state says that the
//! request has not run.
request_plan makeRequestPlan(const request_stream_parser &Request,
                             traffic_context &Context,
                             std::string_view ChosenPart = {});

} // namespace pomelo

#endif
