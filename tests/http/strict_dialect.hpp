//! A target dialect for tests, with faults marked by header fields.
#ifndef POMELOSWITCH_TESTS_HTTP_STRICT_DIALECT_HPP
#define POMELOSWITCH_TESTS_HTTP_STRICT_DIALECT_HPP

#include "pomeloswitch/http/target_dialect.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! A dialect that also recognises responses to other requests, unsigned ones
//! and those that name no request, and lets the end of the connection end a
//! body.
class strict_dialect final : public target_dialect {
public:
  [[nodiscard]] std::optional<std::chrono::milliseconds>
  timeoutOf(const request_header &FromCaller) const override {
    return Base.timeoutOf(FromCaller);
  }
  [[nodiscard]] std::string
  requestIdOf(const request_header &FromCaller) const override {
    return Base.requestIdOf(FromCaller);
  }
  [[nodiscard]] request_header
  headerForTarget(const request_header &FromCaller,
                  const dispatch_metadata &Metadata) const override {
    return Base.headerForTarget(FromCaller, Metadata);
  }
  [[nodiscard]] response_header
  headerForCaller(const response_header &FromTarget) const override {
    return Base.headerForCaller(FromTarget);
  }
  [[nodiscard]] response_metadata
  parseMetadata(const response_header &FromTarget,
                std::string_view RequestId) const override {
    response_metadata Metadata = Base.parseMetadata(FromTarget, RequestId);
    Metadata.OtherRequest = FromTarget.count("Test-Other-Request") > 0;
    Metadata.Authentic = FromTarget.count("Test-Unsigned") == 0;
    Metadata.NamesRequest = FromTarget.count("Test-Names-None") == 0;
    return Metadata;
  }
  [[nodiscard]] bool allowsCloseDelimitedResponse() const override {
    return true;
  }
  [[nodiscard]] text_response
  errorResponse(const pomelo_error &Reason,
                unsigned HttpVersion) const override {
    return Base.errorResponse(Reason, HttpVersion);
  }

private:
  pomelo_dialect Base;
};

} // namespace pomelo

#endif
