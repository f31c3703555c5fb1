#include "pomeloswitch/cli/rpc_client.hpp"

#include "pomeloswitch/cli/http_exchange.hpp"
#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/wire/json_rpc.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <stdexcept>

namespace pomelo {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

std::string post(const std::string &Address, const std::string &Text) {
  client_request Request(http::verb::post, "/rpc", 11);
  Request.set(http::field::host, Address);
  Request.body() = Text;
  Request.prepare_payload();
  try {
    return exchangeWith(Address, Request).body();
  } catch (const boost::system::system_error &Failure) {
    throw pomelo_error(error_kind::NotAuthoritative,
                       fmt::format("no response from {}: {}", Address,
                                   Failure.code().message()));
  }
}

} // namespace

json::object callEntryHost(const std::string &Address,
                           const std::string &Method,
                           const json::object &Parameters) {
  const std::string Response =
      post(Address, makeRpcRequest(Method, json::serialize(Parameters)));
  std::string Result;
  try {
    Result = readRpcResult(Response);
  } catch (const std::runtime_error &Failure) {
    throw pomelo_error(error_kind::NotFound, Failure.what());
  }
  return json::parse(Result).as_object();
}

} // namespace pomelo
