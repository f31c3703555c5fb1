//! A granted claim and how it ends.
#ifndef POMELOSWITCH_RETRY_CLAIMED_RUN_HPP
#define POMELOSWITCH_RETRY_CLAIMED_RUN_HPP

#include "pomeloswitch/retry/request_records.hpp"

#include <optional>

namespace pomelo {

//! Records the end of a claim exactly once. Unless something better is known,
//! that is an unknown outcome.
class claimed_run {
public:
  claimed_run() = default;
  claimed_run(request_records &Records, claim_request Request,
              std::uint64_t Number);
  ~claimed_run();
  claimed_run(const claimed_run &) = delete;
  claimed_run &operator=(const claimed_run &) = delete;
  claimed_run &operator=(claimed_run &&Other) noexcept;

  //! Whether a claim is held whose end has not been recorded.
  [[nodiscard]] bool held() const { return Records != nullptr; }

  void answered(kept_answer Answer);
  //! The request surely has not run and will not be sent any more.
  void notRun();

private:
  void end(std::optional<kept_answer> Answer);

  request_records *Records = nullptr;
  claim_request Request;
  std::uint64_t Number = 0;
};

} // namespace pomelo

#endif
