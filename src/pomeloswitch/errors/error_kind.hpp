//! The closed list of error kinds and the answer that each one gets.
#ifndef POMELOSWITCH_ERRORS_ERROR_KIND_HPP
#define POMELOSWITCH_ERRORS_ERROR_KIND_HPP

#include <chrono>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pomelo {

//! Every reason for which pomeloswitch refuses or fails a request, a change or
//! a command. The list is closed: answerFor() has a row for each.
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

//! What is known about whether the request ran on a target.
enum class run_state { NotRun, Unknown, Ran };

//! Whether and how a caller should send the same request again.
enum class retry_advice { Never, AfterFix, AfterDelay, SameIdempotencyKey };

//! How one error kind is answered to callers and operators.
struct error_answer {
  error_kind Kind;
  std::string_view Name; //!< Stable identifier in answers, logs and metrics.
  int HttpStatus;
  run_state RunState;
  retry_advice Retry;
  int ExitCode; //!< Process exit code of pomeloctl and the daemons.
};

//! The row of the answer table for \p Kind.
const error_answer &answerFor(error_kind Kind);

//! All rows of the answer table, in the order of the enumeration.
std::span<const error_answer> errorAnswers();

std::string_view toString(run_state State);
std::string_view toString(retry_advice Advice);

//! The exception that carries an error kind and a message for people.
class pomelo_error : public std::runtime_error {
public:
  //! \p RetryAfter tells when to come back; zero if that is not known.
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
