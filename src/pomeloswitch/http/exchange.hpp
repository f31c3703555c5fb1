//! Processing of one caller's request, from its header to the end of the
//! response.
#ifndef POMELOSWITCH_HTTP_EXCHANGE_HPP
#define POMELOSWITCH_HTTP_EXCHANGE_HPP

#include "pomeloswitch/http/caller_body.hpp"
#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/http/forwarded_headers.hpp"
#include "pomeloswitch/http/input_observer.hpp"
#include "pomeloswitch/http/request_plan.hpp"
#include "pomeloswitch/http/request_telemetry.hpp"
#include "pomeloswitch/http/target_dispatch.hpp"
#include "pomeloswitch/http/traffic_context.hpp"
#include "pomeloswitch/retry/claim_guard.hpp"
#include "pomeloswitch/sending/send_history.hpp"
#include "pomeloswitch/sending/target_selection.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json/array.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

//! Authenticates, admits and forwards one request, retries it where that is
//! safe, and relays the response.
class exchange {
public:
  exchange(traffic_context &Context, boost::beast::tcp_stream &Caller,
           boost::beast::flat_buffer &CallerBuffer,
           request_stream_parser &Request);
  ~exchange();
  exchange(const exchange &) = delete;
  exchange &operator=(const exchange &) = delete;

  //! Serves the request, whose header has already been read. Returns whether
  //! the caller's connection can be reused for another request.
  //! \throws boost::system::system_error if the caller's connection must be
  //! closed because its response is incomplete.
  boost::asio::awaitable<bool> run();

private:
  boost::asio::awaitable<void> serve();
  [[nodiscard]] request_plan planRequest() const;
  [[nodiscard]] bool mayPlanWithoutLease() const;
  void planAgain();
  void boundByStop();
  void endWithHost();
  void admitBodyToLink();
  bool followConfiguration();
  boost::asio::awaitable<void> continueIfExpected();
  [[nodiscard]] std::string fingerprint() const;
  void rejectPoisonRequest() const;
  boost::asio::awaitable<bool> claimOrReplay();
  boost::asio::awaitable<bool> attempt();
  boost::asio::awaitable<pooled_connection>
  connect(const routing_target &Target, connection_requirement Requirement);
  boost::asio::awaitable<void>
  dispatch(const slot_owner &Owner, pooled_connection &Connection,
           in_flight_table::in_flight_request &InFlight);
  boost::asio::awaitable<void> awaitLease();
  boost::asio::awaitable<slot_owner> awaitTarget();
  boost::asio::awaitable<std::optional<slot_owner>> awaitPlannedTarget();
  [[nodiscard]] pending_request makePendingRequest() const;
  [[nodiscard]] bool givenUp() const { return CallerDisconnected || HostEnds; }
  void noticeCallerGone();
  void checkCallerConnected() const;
  void observeCaller();
  [[nodiscard]] bool answerBegun() const;
  bool answerAtOnce();
  void logCut() const;
  void logOutcome(const std::optional<pomelo_error> &Refusal) const;
  void checkDispatchAllowed(const slot_owner &Owner) const;
  request_header dispatchHeader(const slot_owner &Owner);
  boost::asio::awaitable<void> relayResponse(pooled_connection &Connection,
                                             target_dispatch &Dispatch);
  void recordNotice(const slot_owner &Owner, const target_dispatch &Dispatch);
  void recordAttempt(const slot_owner &Owner, const target_dispatch &Dispatch,
                     std::chrono::steady_clock::time_point SentAt);
  void recordForRollout(const routing_target &Target, bool Cold,
                        send_outcome End, std::chrono::nanoseconds Latency);
  [[nodiscard]] bool mayEndByPlan(const routing_target &Target) const;
  void clearSuspicion();
  boost::asio::awaitable<void> handleConnectionLoss(routing_target_ptr Target);
  [[nodiscard]] bool mayRetry(error_kind Kind);
  boost::asio::awaitable<void> writeError(const pomelo_error &Refusal);
  boost::asio::awaitable<void> writeResponse(text_response Response);
  boost::asio::awaitable<void> lingeringClose();

  traffic_context &Context;
  boost::beast::tcp_stream &Caller;
  request_stream_parser &Request;
  std::shared_ptr<const routing_view> View;
  open_requests::registration Open;
  std::string RequestId; //!< Request id that the caller sent; may be empty.
  request_plan Plan;
  caller_body Body;
  request_telemetry Telemetry;
  claim_guard Claim;
  //! What the link has yet to take of the body.
  link_pacer::pending_body PendingBody;
  send_history History;
  attempt_progress LastProgress = attempt_progress::NothingSent;
  attempt_failure LastFailure = attempt_failure::None;
  std::optional<std::uint32_t> Slot; //!< Empty before the key is looked up.
  boost::json::array AttemptLog;     //!< Log fields of each attempt.
  std::chrono::steady_clock::time_point StartedAt =
      std::chrono::steady_clock::now();
  //! When the account's rate admitted the request.
  std::optional<std::chrono::steady_clock::time_point> AdmittedAt;
  std::vector<std::string> TriedTargets;
  bool Complete = false; //!< The request has its whole answer.
  bool CallerKeepAlive = true;
  bool CallerDisconnected = false;
  bool HostEnds = false; //!< The process ends before the request could.
  //! Closes the target's connection, to free the target.
  std::function<void()> GiveUpTarget;
  std::optional<input_observer> CallerObserver;
};

} // namespace pomelo

#endif
