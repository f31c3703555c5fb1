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

//! Passes one value from another thread to a waiting coroutine. Shared
//! ownership keeps it alive until both sides have finished.
template <typename value> class one_shot_channel {
public:
  explicit one_shot_channel(asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  //! May be called from any thread.
  static void send(const std::shared_ptr<one_shot_channel> &Channel,
                   value Value) {
    asio::post(Channel->Executor, [Channel, Value = std::move(Value)] {
      Channel->Value = Value;
      if (Channel->Waiter)
        Channel->Waiter->cancel();
    });
  }

  static asio::awaitable<value>
  receive(std::shared_ptr<one_shot_channel> Channel) {
    asio::steady_timer Timer(Channel->Executor,
                             asio::steady_timer::time_point::max());
    Channel->Waiter = &Timer;
    boost::system::error_code Ignored;
    if (!Channel->Value)
      co_await Timer.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    Channel->Waiter = nullptr;
    co_return std::move(*Channel->Value);
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

//! Indexed by claim_verdict. The Granted entry is unused; Finished is used if
//! the response was not recorded.
constexpr std::array<refusal, 7> Refusals{{
    {error_kind::NotAuthoritative,
     "the control group did not answer the claim of the request"},
    {error_kind::Internal, ""},
    {error_kind::DuplicateInProgress,
     "the same request is already in progress"},
    {error_kind::AnswerNotKept,
     "the request has run, but its response was not stored"},
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
  auto Channel =
      std::make_shared<one_shot_channel<claim_reply>>(std::move(Executor));
  Records.claim(std::move(Request), [Channel](claim_reply Reply) {
    one_shot_channel<claim_reply>::send(Channel, std::move(Reply));
  });
  claim_reply Reply = co_await one_shot_channel<claim_reply>::receive(Channel);
  co_return Reply;
}

asio::awaitable<void> awaitCrashReport(request_state_client &Records,
                                       asio::any_io_executor Executor,
                                       crash_report Report) {
  auto Channel = std::make_shared<one_shot_channel<bool>>(std::move(Executor));
  Records.reportCrash(std::move(Report), [Channel] {
    one_shot_channel<bool>::send(Channel, true);
  });
  const bool Reported = co_await one_shot_channel<bool>::receive(Channel);
  static_cast<void>(Reported);
}

text_response responseFromClaim(const claim_reply &Reply,
                                unsigned HttpVersion) {
  if (Reply.Verdict != claim_verdict::Finished || !Reply.Answer ||
      !Reply.Answer->BodyKept) {
    const refusal &Refusal = Refusals[static_cast<std::size_t>(Reply.Verdict)];
    throw pomelo_error(Refusal.Kind, Refusal.Message);
  }
  const kept_answer &Earlier = *Reply.Answer;
  text_response Response;
  Response.version(HttpVersion);
  Response.result(Earlier.Status);
  for (const auto &[Name, Value] : Earlier.Fields)
    Response.set(Name, Value);
  Response.set(ReplayedField, "true");
  Response.body() = Earlier.Body;
  Response.prepare_payload();
  return Response;
}

} // namespace pomelo
