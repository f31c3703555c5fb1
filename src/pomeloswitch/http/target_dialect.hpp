//! Translation of HTTP headers between callers and targets.
//!
//! Routing decisions are independent of the dialect. A deployment whose targets
//! use another protocol provides its own implementation.
#ifndef POMELOSWITCH_HTTP_TARGET_DIALECT_HPP
#define POMELOSWITCH_HTTP_TARGET_DIALECT_HPP

#include "pomeloswitch/http/error_response.hpp"
#include "pomeloswitch/http/forwarded_headers.hpp"
#include "pomeloswitch/routing/target_statistics.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! Protocol metadata in the header of a target's response.
struct response_metadata {
  //! The target has not run the request and will not run it.
  bool NotRun = false;
  //! The request belongs to another target; set only together with NotRun.
  bool WrongTarget = false;
  bool OtherRequest = false; //!< The response belongs to an earlier request.
  //! Whether the response names the request that it belongs to. One that does
  //! not may be an earlier one that was written again.
  bool NamesRequest = true;
  //! False if a required signature is missing or invalid.
  bool Authentic = true;
  std::optional<reported_load> Load;
  bool TargetLeaving = false; //!< The target wants no more requests.
  //! How long the target wants no requests of this host; 0 if it does not say.
  std::chrono::milliseconds WantsNothingFor{0};
};

//! Strategy for the headers of one target protocol.
class target_dialect {
public:
  virtual ~target_dialect() = default;

  //! How long the caller will wait; empty if it does not say.
  [[nodiscard]] virtual std::optional<std::chrono::milliseconds>
  timeoutOf(const request_header &FromCaller) const = 0;
  //! The request id that the caller sent; empty if there is none.
  [[nodiscard]] virtual std::string
  requestIdOf(const request_header &FromCaller) const = 0;
  [[nodiscard]] virtual request_header
  headerForTarget(const request_header &FromCaller,
                  const dispatch_metadata &Metadata) const = 0;
  [[nodiscard]] virtual response_header
  headerForCaller(const response_header &FromTarget) const = 0;
  [[nodiscard]] virtual response_metadata
  parseMetadata(const response_header &FromTarget,
                std::string_view RequestId) const = 0;
  //! Whether the body of a response may be delimited by the end of the
  //! connection.
  [[nodiscard]] virtual bool allowsCloseDelimitedResponse() const = 0;
  [[nodiscard]] virtual text_response
  errorResponse(const pomelo_error &Reason, unsigned HttpVersion) const = 0;
};

//! The project's own target protocol, see docs/TARGETS.md.
class pomelo_dialect final : public target_dialect {
public:
  [[nodiscard]] std::optional<std::chrono::milliseconds>
  timeoutOf(const request_header &FromCaller) const override;
  [[nodiscard]] std::string
  requestIdOf(const request_header &FromCaller) const override;
  [[nodiscard]] request_header
  headerForTarget(const request_header &FromCaller,
                  const dispatch_metadata &Metadata) const override;
  [[nodiscard]] response_header
  headerForCaller(const response_header &FromTarget) const override;
  [[nodiscard]] response_metadata
  parseMetadata(const response_header &FromTarget,
                std::string_view RequestId) const override;
  [[nodiscard]] bool allowsCloseDelimitedResponse() const override {
    return false;
  }
  [[nodiscard]] text_response
  errorResponse(const pomelo_error &Reason,
                unsigned HttpVersion) const override;
};

} // namespace pomelo

#endif
