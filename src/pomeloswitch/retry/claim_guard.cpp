#include "pomeloswitch/retry/claim_guard.hpp"

#include <utility>

namespace pomelo {

claim_guard::claim_guard(request_state_client &Client, claim_request Request,
                         std::uint64_t Number)
    : Client(&Client), Request(std::move(Request)), Number(Number) {}

claim_guard::~claim_guard() { recordEnd(std::nullopt); }

claim_guard &claim_guard::operator=(claim_guard &&Other) noexcept {
  std::swap(Client, Other.Client);
  std::swap(Request, Other.Request);
  std::swap(Number, Other.Number);
  return *this;
}

void claim_guard::answered(kept_answer Answer) { recordEnd(std::move(Answer)); }

void claim_guard::releaseClaim() {
  if (request_state_client *Recorder = std::exchange(Client, nullptr))
    Recorder->release(Request, Number);
}

void claim_guard::recordEnd(std::optional<kept_answer> Answer) {
  if (request_state_client *Recorder = std::exchange(Client, nullptr))
    Recorder->finish(Request, Number, std::move(Answer));
}

} // namespace pomelo
