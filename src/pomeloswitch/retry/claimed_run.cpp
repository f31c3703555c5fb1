#include "pomeloswitch/retry/claimed_run.hpp"

#include <utility>

namespace pomelo {

claimed_run::claimed_run(request_records &Records, claim_request Request,
                         std::uint64_t Number)
    : Records(&Records), Request(std::move(Request)), Number(Number) {}

claimed_run::~claimed_run() { end(std::nullopt); }

claimed_run &claimed_run::operator=(claimed_run &&Other) noexcept {
  std::swap(Records, Other.Records);
  std::swap(Request, Other.Request);
  std::swap(Number, Other.Number);
  return *this;
}

void claimed_run::answered(kept_answer Answer) { end(std::move(Answer)); }

void claimed_run::notRun() {
  if (request_records *Kept = std::exchange(Records, nullptr))
    Kept->release(Request, Number);
}

void claimed_run::end(std::optional<kept_answer> Answer) {
  if (request_records *Kept = std::exchange(Records, nullptr))
    Kept->finish(Request, Number, std::move(Answer));
}

} // namespace pomelo
