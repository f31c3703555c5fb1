#include "pomeloswitch/cli/admin_client.hpp"

#include "pomeloswitch/cli/http_exchange.hpp"
#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace pomelo {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds RetryTimeout{10000};
constexpr milliseconds RetryDelay{100};

using request = client_request;
using response = client_response;

request makeRequest(const admin_request &AdminRequest,
                    std::string_view Credential) {
  request Request;
  Request.version(11);
  Request.method_string(AdminRequest.Method);
  Request.target(AdminRequest.Target);
  Request.set(http::field::host, "control");
  Request.set(http::field::authorization, fmt::format("Bearer {}", Credential));
  if (!AdminRequest.OperationId.empty())
    Request.set("Pomelo-Operation-Id", AdminRequest.OperationId);
  if (AdminRequest.BaseVersion)
    Request.set("Pomelo-Base-Version",
                std::to_string(*AdminRequest.BaseVersion));
  Request.body() = AdminRequest.Body;
  Request.prepare_payload();
  return Request;
}

error_kind parseErrorName(std::string_view Name) {
  const auto Answers = errorAnswers();
  const auto Found = std::find_if(
      Answers.begin(), Answers.end(),
      [Name](const error_answer &Answer) { return Answer.Name == Name; });
  return Found == Answers.end() ? error_kind::Internal : Found->Kind;
}

json::object parseAnswer(const response &Response) {
  json::error_code Error;
  json::value Body = json::parse(Response.body(), Error);
  if (Error || !Body.is_object())
    throw pomelo_error(error_kind::Internal,
                       "the response of the control host is not a JSON object");
  json::object Object = std::move(Body.as_object());
  if (Response.result_int() < 400)
    return Object;
  throw pomelo_error(parseErrorName(Response["Pomelo-Error"]),
                     json::value_to<std::string>(Object["message"]));
}

bool isRetryable(error_kind Kind) {
  return Kind == error_kind::NotLeader || Kind == error_kind::NoQuorum;
}

} // namespace

json::object admin_client::call(const admin_request &AdminRequest) {
  const request Request = makeRequest(AdminRequest, Credential);
  const auto Deadline = steady_clock::now() + RetryTimeout;
  std::string LastFailure = "no control host is configured";
  while (steady_clock::now() < Deadline && !Addresses.empty()) {
    const std::string &Address = Addresses[Next % Addresses.size()];
    try {
      return parseAnswer(exchangeWith(Address, Request));
    } catch (const pomelo_error &Failure) {
      if (!isRetryable(Failure.kind()))
        throw;
      LastFailure = fmt::format("{}: {}", Address, Failure.what());
    } catch (const boost::system::system_error &Failure) {
      LastFailure = fmt::format("{}: {}", Address, Failure.code().message());
    }
    if (++Next % Addresses.size() == 0)
      std::this_thread::sleep_for(RetryDelay);
  }
  throw pomelo_error(
      error_kind::NoQuorum,
      fmt::format("no control host handled the request: {}", LastFailure));
}

} // namespace pomelo
