#include "pomeloswitch/errors/error_kind.hpp"

#include <array>
#include <cstddef>

namespace pomelo {
namespace {

using rs = run_state;
using ra = retry_advice;

constexpr std::array Answers{
    error_answer{error_kind::BadRequest, "bad_request", 400, rs::NotRun,
                 ra::AfterFix, 10},
    error_answer{error_kind::BodyTooLarge, "body_too_large", 413, rs::NotRun,
                 ra::AfterFix, 10},
    error_answer{error_kind::HeaderTooLarge, "header_too_large", 431,
                 rs::NotRun, ra::AfterFix, 10},
    error_answer{error_kind::Unauthenticated, "unauthenticated", 401,
                 rs::NotRun, ra::AfterFix, 11},
    error_answer{error_kind::Forbidden, "forbidden", 403, rs::NotRun,
                 ra::AfterFix, 11},
    error_answer{error_kind::NoRoute, "no_route", 404, rs::NotRun, ra::AfterFix,
                 12},
    error_answer{error_kind::MissingKey, "missing_key", 400, rs::NotRun,
                 ra::AfterFix, 10},
    error_answer{error_kind::RateExceeded, "rate_exceeded", 429, rs::NotRun,
                 ra::AfterDelay, 13},
    error_answer{error_kind::Overloaded, "overloaded", 503, rs::NotRun,
                 ra::AfterDelay, 13},
    error_answer{error_kind::DeadlineExceeded, "deadline_exceeded", 504,
                 rs::NotRun, ra::AfterDelay, 13},
    error_answer{error_kind::NoTarget, "no_target", 503, rs::NotRun,
                 ra::AfterDelay, 14},
    error_answer{error_kind::NoOwner, "no_owner", 503, rs::NotRun,
                 ra::AfterDelay, 14},
    error_answer{error_kind::NotAuthoritative, "not_authoritative", 503,
                 rs::NotRun, ra::AfterDelay, 14},
    error_answer{error_kind::Draining, "draining", 503, rs::NotRun,
                 ra::AfterDelay, 14},
    error_answer{error_kind::PoisonRequest, "poison_request", 422, rs::NotRun,
                 ra::Never, 15},
    error_answer{error_kind::DuplicateInProgress, "duplicate_in_progress", 409,
                 rs::Unknown, ra::SameIdempotencyKey, 16},
    error_answer{error_kind::OutcomeUnknown, "outcome_unknown", 502,
                 rs::Unknown, ra::SameIdempotencyKey, 16},
    error_answer{error_kind::AnswerNotKept, "answer_not_kept", 409, rs::Ran,
                 ra::Never, 16},
    error_answer{error_kind::UpstreamFailed, "upstream_failed", 502, rs::NotRun,
                 ra::AfterDelay, 14},
    error_answer{error_kind::BadSettings, "bad_settings", 400, rs::NotRun,
                 ra::AfterFix, 2},
    error_answer{error_kind::InvalidChange, "invalid_change", 400, rs::NotRun,
                 ra::AfterFix, 3},
    error_answer{error_kind::VersionConflict, "version_conflict", 409,
                 rs::NotRun, ra::AfterFix, 4},
    error_answer{error_kind::NotLeader, "not_leader", 421, rs::NotRun,
                 ra::AfterDelay, 5},
    error_answer{error_kind::NoQuorum, "no_quorum", 503, rs::Unknown,
                 ra::SameIdempotencyKey, 6},
    error_answer{error_kind::NotFound, "not_found", 404, rs::NotRun,
                 ra::AfterFix, 7},
    error_answer{error_kind::StorageFailed, "storage_failed", 503, rs::Unknown,
                 ra::SameIdempotencyKey, 8},
    error_answer{error_kind::Internal, "internal", 500, rs::Unknown, ra::Never,
                 1},
};

consteval bool rowsMatchEnumeration() {
  for (std::size_t Index = 0; Index < Answers.size(); ++Index)
    if (static_cast<std::size_t>(Answers[Index].Kind) != Index)
      return false;
  return Answers.size() == static_cast<std::size_t>(error_kind::Internal) + 1;
}
static_assert(rowsMatchEnumeration());

} // namespace

const error_answer &answerFor(error_kind Kind) {
  return Answers[static_cast<std::size_t>(Kind)];
}

std::span<const error_answer> errorAnswers() { return Answers; }

std::string_view toString(run_state State) {
  constexpr std::array<std::string_view, 3> Names{"not_run", "unknown", "ran"};
  return Names[static_cast<std::size_t>(State)];
}

std::string_view toString(retry_advice Advice) {
  constexpr std::array<std::string_view, 4> Names{
      "never", "after_fix", "after_delay", "same_idempotency_key"};
  return Names[static_cast<std::size_t>(Advice)];
}

} // namespace pomelo
