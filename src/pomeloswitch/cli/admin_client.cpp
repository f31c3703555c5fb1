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

constexpr milliseconds Patience{10000};
constexpr milliseconds Pause{100};

using request = client_request;
using response = client_response;

request makeRequest(const admin_request &Wanted, std::string_view Credential) {
  request Request;
  Request.version(11);
  Request.method_string(Wanted.Method);
  Request.target(Wanted.Target);
  Request.set(http::field::host, "control");
  Request.set(http::field::authorization, fmt::format("Bearer {}", Credential));
  if (!Wanted.OperationId.empty())
    Request.set("Pomelo-Operation-Id", Wanted.OperationId);
  if (Wanted.BaseVersion)
    Request.set("Pomelo-Base-Version", std::to_string(*Wanted.BaseVersion));
  Request.body() = Wanted.Body;
  Request.prepare_payload();
  return Request;
}

error_kind kindNamed(std::string_view Name) {
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
                       "the control host gave no JSON answer");
  json::object Object = std::move(Body.as_object());
  if (Response.result_int() < 400)
    return Object;
  throw pomelo_error(kindNamed(Response["Pomelo-Error"]),
                     json::value_to<std::string>(Object["message"]));
}

bool worthRetrying(error_kind Kind) {
  return Kind == error_kind::NotLeader || Kind == error_kind::NoQuorum;
}

} // namespace

json::object admin_client::call(const admin_request &Wanted) {
  const request Request = makeRequest(Wanted, Credential);
  const auto GiveUp = steady_clock::now() + Patience;
  std::string LastProblem = "there is no control host to ask";
  while (steady_clock::now() < GiveUp && !Addresses.empty()) {
    const std::string &Address = Addresses[Next % Addresses.size()];
    try {
      return parseAnswer(exchangeWith(Address, Request));
    } catch (const pomelo_error &Failure) {
      if (!worthRetrying(Failure.kind()))
        throw;
      LastProblem = fmt::format("{}: {}", Address, Failure.what());
    } catch (const boost::system::system_error &Failure) {
      LastProblem = fmt::format("{}: {}", Address, Failure.code().message());
    }
    if (++Next % Addresses.size() == 0)
      std::this_thread::sleep_for(Pause);
  }
  throw pomelo_error(
      error_kind::NoQuorum,
      fmt::format("no control host carried out the request: {}", LastProblem));
}

} // namespace pomelo
