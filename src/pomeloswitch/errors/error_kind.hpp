//! Error kinds and how each is reported to callers and operators.
#ifndef POMELOSWITCH_ERRORS_ERROR_KIND_HPP
#define POMELOSWITCH_ERRORS_ERROR_KIND_HPP

#include <chrono>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pomelo {

//! Reasons for which pomeloswitch rejects or fails a request, a configuration
//! change or a command. answerFor() has exactly one row for each kind.
enum class error_kind {
  BadRequest,
  BodyTooLarge,
  HeaderTooLarge,
  Unauthenticated,
  Forbidden,
  NoRoute,
  MissingKey,
  RateExceeded,
  Overloaded,
  DeadlineExceeded,
  NoTarget,
  NoOwner,
  NotAuthoritative,
  Draining,
  PoisonRequest,
  DuplicateInProgress,
  OutcomeUnknown,
  AnswerNotKept,
  UpstreamFailed,
  BadSettings,
  InvalidChange,
  VersionConflict,
  NotLeader,
  NoQuorum,
  NotFound,
  StorageFailed,
  Internal,
};

//! Whether the request was executed by a target, as far as is known.
enum class run_state { NotRun, Unknown, Ran };

//! Whether and how a caller should retry the request.
enum class retry_advice { Never, AfterFix, AfterDelay, SameIdempotencyKey };

//! How one error kind is reported to callers and operators.
struct error_answer {
  error_kind Kind;
  std::string_view Name; //!< Stable identifier in responses, logs and metrics.
  int HttpStatus;
  run_state RunState;
  retry_advice Retry;
  int ExitCode; //!< Process exit code of pomeloctl and the daemons.
};

//! Returns the row of the answer table for \p Kind.
const error_answer &answerFor(error_kind Kind);

//! Returns all rows of the answer table, in the order of the enumeration.
std::span<const error_answer> errorAnswers();

std::string_view toString(run_state State);
std::string_view toString(retry_advice Advice);

//! An exception with an error kind and a human-readable message.
class pomelo_error : public std::runtime_error {
public:
  //! \p RetryAfter is the delay before a retry; zero if it is not known.
  pomelo_error(error_kind Kind, const std::string &Message,
               std::chrono::milliseconds RetryAfter = {})
      : std::runtime_error(Message), Kind(Kind), RetryAfter(RetryAfter) {}

  [[nodiscard]] error_kind kind() const { return Kind; }
  [[nodiscard]] std::chrono::milliseconds retryAfter() const {
    return RetryAfter;
  }

private:
  error_kind Kind;
  std::chrono::milliseconds RetryAfter;
};

} // namespace pomelo

#endif
