#include "pomeloswitch/http/claim_exchange.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <utility>

namespace pomelo {
namespace {

namespace asio = boost::asio;

//! A value that another thread hands over to a waiting coroutine. It outlives
//! whichever side ends first.
template <typename value> class handover {
public:
  explicit handover(asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  //! Any thread.
  static void put(const std::shared_ptr<handover> &Handover, value Value) {
    asio::post(Handover->Executor, [Handover, Value = std::move(Value)] {
      Handover->Value = Value;
      if (Handover->Waiter)
        Handover->Waiter->cancel();
    });
  }

  static asio::awaitable<value> take(std::shared_ptr<handover> Handover) {
    asio::steady_timer Timer(Handover->Executor,
                             asio::steady_timer::time_point::max());
    Handover->Waiter = &Timer;
    boost::system::error_code Ignored;
    if (!Handover->Value)
      co_await Timer.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    Handover->Waiter = nullptr;
    co_return std::move(*Handover->Value);
  }

private:
  asio::any_io_executor Executor;
  std::optional<value> Value;
  asio::steady_timer *Waiter = nullptr;
};

struct refusal {
  error_kind Kind;
  const char *Message;
};

//! Indexed by claim_verdict; granted and finished claims are no refusals.
constexpr std::array<refusal, 7> Refusals{{
    {error_kind::NotAuthoritative,
     "the control group did not answer the claim of the request"},
    {error_kind::Internal, ""},
    {error_kind::DuplicateInProgress,
     "the same request is being run at the moment"},
    {error_kind::AnswerNotKept, "the request has run; its answer was not kept"},
    {error_kind::OutcomeUnknown,
     "the request was sent before and its outcome is unknown"},
    {error_kind::BadRequest,
     "the Idempotency-Key was used for a different request"},
    {error_kind::Overloaded,
     "the account has too many recent Idempotency-Keys"},
}};

} // namespace

asio::awaitable<claim_reply> awaitClaim(request_state_client &Records,
                                        asio::any_io_executor Executor,
                                        claim_request Request) {
  auto Handover = std::make_shared<handover<claim_reply>>(std::move(Executor));
  Records.claim(std::move(Request), [Handover](claim_reply Reply) {
    handover<claim_reply>::put(Handover, std::move(Reply));
  });
  claim_reply Reply = co_await handover<claim_reply>::take(Handover);
  co_return Reply;
}

asio::awaitable<void> awaitCrashReport(request_state_client &Records,
                                       asio::any_io_executor Executor,
                                       crash_report Report) {
  auto Handover = std::make_shared<handover<bool>>(std::move(Executor));
  Records.reportCrash(std::move(Report),
                      [Handover] { handover<bool>::put(Handover, true); });
  const bool Reported = co_await handover<bool>::take(Handover);
  static_cast<void>(Reported);
}

text_response answerFromClaim(const claim_reply &Reply, unsigned HttpVersion) {
  if (Reply.Verdict != claim_verdict::Finished || !Reply.Answer ||
      !Reply.Answer->BodyKept) {
    const refusal &Refusal = Refusals[static_cast<std::size_t>(Reply.Verdict)];
    throw pomelo_error(Refusal.Kind, Refusal.Message);
  }
  const kept_answer &Kept = *Reply.Answer;
  text_response Response;
  Response.version(HttpVersion);
  Response.result(Kept.Status);
  for (const auto &[Name, Value] : Kept.Fields)
    Response.set(Name, Value);
  Response.set(ReplayedField, "true");
  Response.body() = Kept.Body;
  Response.prepare_payload();
  return Response;
}

} // namespace pomelo
