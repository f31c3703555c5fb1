#include "pomeloswitch/http/target_dialect.hpp"

namespace pomelo {

std::optional<std::chrono::milliseconds>
pomelo_dialect::patienceOf(const request_header &) const {
  return std::nullopt;
}

std::string pomelo_dialect::requestIdOf(const request_header &) const {
  return {};
}

request_header
pomelo_dialect::headerForTarget(const request_header &FromCaller,
                                const dispatch_facts &Facts) const {
  return pomelo::headerForTarget(FromCaller, Facts);
}

response_header
pomelo_dialect::headerForCaller(const response_header &FromTarget) const {
  return endToEndHeader(FromTarget);
}

answer_facts pomelo_dialect::factsOf(const response_header &FromTarget,
                                     std::string_view) const {
  answer_facts Facts;
  Facts.NotRun = FromTarget.count(NotRunField) > 0;
  return Facts;
}

text_response pomelo_dialect::refusal(const pomelo_error &Reason,
                                      unsigned HttpVersion) const {
  return makeErrorResponse(Reason.kind(), Reason.what(), HttpVersion,
                           Reason.retryAfter());
}

} // namespace pomelo
