//! Request records that are stored in the replicated log.
#ifndef POMELOSWITCH_ENTRY_REPLICATED_RECORDS_HPP
#define POMELOSWITCH_ENTRY_REPLICATED_RECORDS_HPP

#include "pomeloswitch/observe/log.hpp"
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

//! Proposes claims and crash reports to the leader. Callable from any thread;
//! proposals are sent on the control thread.
class replicated_records final : public request_state_client {
public:
  replicated_records(boost::asio::io_context &Io, control_session &Session,
                     std::string HostId, std::uint64_t Incarnation);

  // request_state_client
  void claim(claim_request Request,
             std::function<void(claim_reply)> Done) override;
  void finish(const claim_request &Request, std::uint64_t Number,
              std::optional<kept_answer> Answer) override;
  void release(const claim_request &Request, std::uint64_t Number) override;
  void reportCrash(crash_report Report, std::function<void()> Done) override;
  void clearSuspect(std::string Fingerprint) override;

  //! Control thread only: whether every record has been committed or given up.
  [[nodiscard]] bool idle() const { return PendingCommands == 0; }

private:
  using steady_time = std::chrono::steady_clock::time_point;
  using command_ptr = std::shared_ptr<const wire::command>;
  using result_handler = std::function<void(const wire::proposal_result *)>;

  void fillClaimName(const claim_request &Request, std::uint64_t Number,
                     wire::claim_name &Name) const;
  void proposeUntilCommitted(command_ptr Command,
                             std::chrono::milliseconds Timeout,
                             result_handler Done);
  void proposeOnce(const command_ptr &Command, steady_time Deadline,
                   result_handler Done);
  void proposeAfterDelay(const command_ptr &Command, steady_time Deadline,
                         result_handler Done);

  boost::asio::io_context &Io;
  control_session &Session;
  std::string HostId;
  std::uint64_t Incarnation;
  std::atomic<std::uint64_t> NextNumber{1};
  std::size_t PendingCommands = 0;
  component_logger Log{"entry.records"};
};

} // namespace pomelo

#endif
