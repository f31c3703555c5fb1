#include "pomeloswitch/http/target_dialect.hpp"

namespace pomelo {

std::optional<std::chrono::milliseconds>
pomelo_dialect::timeoutOf(const request_header &) const {
  return std::nullopt;
}

std::string pomelo_dialect::requestIdOf(const request_header &) const {
  return {};
}

request_header
pomelo_dialect::headerForTarget(const request_header &FromCaller,
                                const dispatch_metadata &Metadata) const {
  return pomelo::headerForTarget(FromCaller, Metadata);
}

response_header
pomelo_dialect::headerForCaller(const response_header &FromTarget) const {
  return endToEndHeader(FromTarget);
}

response_metadata
pomelo_dialect::parseMetadata(const response_header &FromTarget,
                              std::string_view) const {
  response_metadata Metadata;
  Metadata.NotRun = FromTarget.count(NotRunField) > 0;
  return Metadata;
}

text_response pomelo_dialect::errorResponse(const pomelo_error &Reason,
                                            unsigned HttpVersion) const {
  return makeErrorResponse(Reason.kind(), Reason.what(), HttpVersion,
                           Reason.retryAfter());
}

} // namespace pomelo
