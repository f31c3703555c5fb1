//! How requests and their answers are written to targets and callers.
//!
//! The decisions about a request do not depend on it; a deployment whose
//! targets speak another protocol brings a dialect of its own.
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

//! What the header of a target's answer says besides the answer itself.
struct answer_facts {
  bool NotRun = false; //!< The target has not run the request and never will.
  //! The request belongs to another target; set only together with NotRun.
  bool WrongTarget = false;
  bool OtherRequest = false; //!< It answers an earlier request.
  bool Genuine = true;       //!< False where it lacks a mark that it must have.
  std::optional<reported_load> Load;
};

class target_dialect {
public:
  virtual ~target_dialect() = default;

  //! How long the caller will wait, if it tells.
  [[nodiscard]] virtual std::optional<std::chrono::milliseconds>
  patienceOf(const request_header &FromCaller) const = 0;
  //! The caller's name for the request; empty if it gives none.
  [[nodiscard]] virtual std::string
  requestIdOf(const request_header &FromCaller) const = 0;
  [[nodiscard]] virtual request_header
  headerForTarget(const request_header &FromCaller,
                  const dispatch_facts &Facts) const = 0;
  [[nodiscard]] virtual response_header
  headerForCaller(const response_header &FromTarget) const = 0;
  [[nodiscard]] virtual answer_facts
  factsOf(const response_header &FromTarget,
          std::string_view RequestId) const = 0;
  //! Whether an answer may have no length and end with its connection.
  [[nodiscard]] virtual bool endOfConnectionEndsAnswer() const = 0;
  [[nodiscard]] virtual text_response refusal(const pomelo_error &Reason,
                                              unsigned HttpVersion) const = 0;
};

//! The project's own protocol, docs/TARGETS.md.
class pomelo_dialect final : public target_dialect {
public:
  [[nodiscard]] std::optional<std::chrono::milliseconds>
  patienceOf(const request_header &FromCaller) const override;
  [[nodiscard]] std::string
  requestIdOf(const request_header &FromCaller) const override;
  [[nodiscard]] request_header
  headerForTarget(const request_header &FromCaller,
                  const dispatch_facts &Facts) const override;
  [[nodiscard]] response_header
  headerForCaller(const response_header &FromTarget) const override;
  [[nodiscard]] answer_facts factsOf(const response_header &FromTarget,
                                     std::string_view RequestId) const override;
  [[nodiscard]] bool endOfConnectionEndsAnswer() const override {
    return false;
  }
  [[nodiscard]] text_response refusal(const pomelo_error &Reason,
                                      unsigned HttpVersion) const override;
};

} // namespace pomelo

#endif
