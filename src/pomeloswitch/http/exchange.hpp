//! One request of a caller, from its header to the end of the answer.
#ifndef POMELOSWITCH_HTTP_EXCHANGE_HPP
#define POMELOSWITCH_HTTP_EXCHANGE_HPP

#include "pomeloswitch/http/caller_body.hpp"
#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/http/forwarded_headers.hpp"
#include "pomeloswitch/http/readable_watch.hpp"
#include "pomeloswitch/http/request_plan.hpp"
#include "pomeloswitch/http/request_record.hpp"
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

class exchange {
public:
  exchange(traffic_context &Context, boost::beast::tcp_stream &Caller,
           boost::beast::flat_buffer &CallerBuffer,
           request_stream_parser &Request);

  //! Serves the request, whose header has been read. Returns whether the
  //! caller's connection can carry another request.
  //! \throws boost::system::system_error when the caller's connection must be
  //!         closed with its answer unfinished.
  boost::asio::awaitable<bool> run();

private:
  boost::asio::awaitable<void> serve();
  boost::asio::awaitable<void> continueIfExpected();
  [[nodiscard]] std::string fingerprint() const;
  void refusePoison() const;
  boost::asio::awaitable<bool> answeredByClaim();
  boost::asio::awaitable<bool> attempt();
  boost::asio::awaitable<upstream_loan> connect(const routing_target &Target,
                                                connection_need Need);
  boost::asio::awaitable<void> dispatch(const slot_owner &Owner,
                                        upstream_loan &Connection,
                                        flight_table::flight &Flight);
  boost::asio::awaitable<void> awaitLease();
  boost::asio::awaitable<slot_owner> awaitTarget();
  [[nodiscard]] pending_request sendWish() const;
  void checkCallerWaits() const;
  void watchCaller();
  void logOutcome(const std::optional<pomelo_error> &Refusal) const;
  void checkMayDispatch(const slot_owner &Owner) const;
  request_header dispatchHeader(const slot_owner &Owner);
  boost::asio::awaitable<void> relayAnswer(upstream_loan &Connection,
                                           target_dispatch &Dispatch);
  void noteAttempt(const slot_owner &Owner, const target_dispatch &Dispatch,
                   std::chrono::steady_clock::time_point SentAt);
  boost::asio::awaitable<void> investigate(routing_target_ptr Target);
  [[nodiscard]] bool mayRetry(error_kind Kind);
  boost::asio::awaitable<void> writeError(const pomelo_error &Refusal);
  boost::asio::awaitable<void> writeWhole(text_response Response);
  boost::asio::awaitable<void> lingerForCaller();

  traffic_context &Context;
  boost::beast::tcp_stream &Caller;
  request_stream_parser &Request;
  std::shared_ptr<const routing_view> View;
  std::string RequestId; //!< As its caller named it.
  request_plan Plan;
  caller_body Body;
  request_record Record;
  claim_guard Claim;
  send_history History;
  attempt_progress LastProgress = attempt_progress::NothingSent;
  attempt_break LastBreak = attempt_break::None;
  std::optional<std::uint32_t> Slot; //!< Of the key, once it was looked up.
  boost::json::array Tries;          //!< What became of each send, for the log.
  std::chrono::steady_clock::time_point Began =
      std::chrono::steady_clock::now();
  std::vector<std::string> TriedTargets;
  bool CallerKeepAlive = true;
  bool CallerGone = false;
  std::function<void()> OnCallerGone;
  std::optional<readable_watch> CallerWatch;
};

} // namespace pomelo

#endif
