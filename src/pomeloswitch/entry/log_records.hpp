//! Request records in the replicated log, for the traffic threads.
#ifndef POMELOSWITCH_ENTRY_LOG_RECORDS_HPP
#define POMELOSWITCH_ENTRY_LOG_RECORDS_HPP

#include "pomeloswitch/retry/request_state_client.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace pomelo::wire {
class claim_name;
class command;
class proposal_result;
} // namespace pomelo::wire

namespace pomelo {

class control_session;

//! Proposes claims and crash reports to the leader. The calls are passed on to
//! the control thread.
class log_records final : public request_state_client {
public:
  log_records(boost::asio::io_context &Io, control_session &Session,
              std::string HostId, std::uint64_t Incarnation);

  // request_state_client
  void claim(claim_request Request,
             std::function<void(claim_reply)> Done) override;
  void finish(const claim_request &Request, std::uint64_t Number,
              std::optional<kept_answer> Answer) override;
  void release(const claim_request &Request, std::uint64_t Number) override;
  void reportCrash(crash_report Report, std::function<void()> Done) override;
  void clearSuspect(std::string Fingerprint) override;

  //! Control thread: whether no record still waits to be committed.
  [[nodiscard]] bool idle() const { return Unsettled == 0; }

private:
  using steady_time = std::chrono::steady_clock::time_point;
  using command_ptr = std::shared_ptr<const wire::command>;
  using answer_handler = std::function<void(const wire::proposal_result *)>;

  void writeName(const claim_request &Request, std::uint64_t Number,
                 wire::claim_name &Name) const;
  void settle(command_ptr Command, std::chrono::milliseconds GiveUpAfter,
              answer_handler Done);
  void attempt(const command_ptr &Command, steady_time GiveUpAt,
               answer_handler Done);
  void attemptLater(const command_ptr &Command, steady_time GiveUpAt,
                    answer_handler Done);

  boost::asio::io_context &Io;
  control_session &Session;
  std::string HostId;
  std::uint64_t Incarnation;
  std::atomic<std::uint64_t> NextNumber{1};
  std::size_t Unsettled = 0;
};

} // namespace pomelo

#endif
