#include "pomeloswitch/http/error_response.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <string>

namespace pomelo {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::seconds MinRetryAfter{1};

} // namespace

text_response makeErrorResponse(error_kind Kind, std::string_view Message,
                                unsigned HttpVersion,
                                std::chrono::milliseconds RetryAfter) {
  const error_answer &Answer = answerFor(Kind);
  const boost::json::object Body{{"error", Answer.Name},
                                 {"message", Message},
                                 {"run_state", toString(Answer.RunState)},
                                 {"retry", toString(Answer.Retry)}};
  text_response Response =
      makeJsonResponse(boost::json::serialize(Body), HttpVersion);
  Response.result(static_cast<unsigned>(Answer.HttpStatus));
  Response.set(ErrorField, Answer.Name);
  Response.set(RunStateField, toString(Answer.RunState));
  if (Answer.Retry == retry_advice::AfterDelay)
    Response.set(
        http::field::retry_after,
        std::to_string(
            std::max(MinRetryAfter,
                     std::chrono::ceil<std::chrono::seconds>(RetryAfter))
                .count()));
  return Response;
}

text_response makeJsonResponse(std::string_view Body, unsigned HttpVersion) {
  text_response Response(http::status::ok, HttpVersion);
  Response.set(http::field::content_type, "application/json");
  Response.body() = Body;
  Response.body().push_back('\n');
  Response.prepare_payload();
  return Response;
}

} // namespace pomelo
