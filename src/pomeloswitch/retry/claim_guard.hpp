//! An owner of a granted claim that records its outcome exactly once.
#ifndef POMELOSWITCH_RETRY_CLAIM_GUARD_HPP
#define POMELOSWITCH_RETRY_CLAIM_GUARD_HPP

#include "pomeloswitch/retry/request_state_client.hpp"

#include <optional>

namespace pomelo {

//! Records the outcome of a granted claim exactly once. The destructor records
//! an unknown outcome if neither an answer nor a release was recorded before.
class claim_guard {
public:
  claim_guard() = default;
  claim_guard(request_state_client &Client, claim_request Request,
              std::uint64_t Number);
  ~claim_guard();
  claim_guard(const claim_guard &) = delete;
  claim_guard &operator=(const claim_guard &) = delete;
  claim_guard &operator=(claim_guard &&Other) noexcept;

  //! Whether the guard owns a claim whose outcome has not been recorded yet.
  [[nodiscard]] bool ownsClaim() const { return Client != nullptr; }

  //! Records that the request has run, with its answer.
  void answered(kept_answer Answer);
  //! Releases the claim. Only for a request that certainly has not run and will
  //! not be sent again.
  void releaseClaim();

private:
  void recordEnd(std::optional<kept_answer> Answer);

  request_state_client *Client = nullptr;
  claim_request Request;
  std::uint64_t Number = 0;
};

} // namespace pomelo

#endif
