#include "pomeloswitch/wire/json_rpc.hpp"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <map>
#include <stdexcept>
#include <utility>

namespace pomelo {
namespace {

Json::Value parseJson(const std::string &Text) {
  Json::Value Value;
  std::string Errors;
  const std::unique_ptr<Json::CharReader> Reader(
      Json::CharReaderBuilder().newCharReader());
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
    throw std::runtime_error("not JSON: " + Errors);
  return Value;
}

std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

//! A client connector without a transport: stores the request and returns the
//! response given at construction.
class recording_connector : public jsonrpc::IClientConnector {
public:
  explicit recording_connector(std::string Response)
      : Response(std::move(Response)) {}

  // The library declares this name and exception specification.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    Request = Message;
    Result = Response;
  }

  std::string Request;

private:
  std::string Response;
};

//! A server connector without a transport: stores the response.
class response_connector : public jsonrpc::AbstractServerConnector {
public:
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool StartListening() override { return true; }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool StopListening() override { return true; }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool SendResponse(const std::string &Text, void *) override {
    Response = Text;
    return true;
  }

  std::string Response;
};

} // namespace

std::string makeRpcRequest(const std::string &Method,
                           const std::string &ParametersJson) {
  const Json::Value Parameters = parseJson(ParametersJson);
  if (!Parameters.isObject())
    throw std::runtime_error("the parameters are not a JSON object");
  recording_connector Connector(R"({"jsonrpc":"2.0","id":1,"result":null})");
  jsonrpc::Client Client(Connector);
  Client.CallMethod(Method, Parameters);
  return Connector.Request;
}

std::string readRpcResult(const std::string &ResponseText) {
  recording_connector Connector(ResponseText);
  jsonrpc::Client Client(Connector);
  try {
    return writeJson(Client.CallMethod("read", Json::objectValue));
  } catch (const jsonrpc::JsonRpcException &Failure) {
    throw std::runtime_error(Failure.GetMessage());
  }
}

// The connector is the first base class because the library's server, the
// second one, takes a reference to it in its constructor.
class rpc_dispatcher::server : private response_connector,
                               public jsonrpc::AbstractServer<server> {
public:
  server()
      : jsonrpc::AbstractServer<server>(
            static_cast<response_connector &>(*this)) {}

  void add(const std::string &Name, method Method) {
    bindAndAddMethod(jsonrpc::Procedure(Name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, NULL),
                     nullptr);
    Methods[Name] = std::move(Method);
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    try {
      const method &Method = Methods.at(Procedure.GetProcedureName());
      Output = parseJson(Method(writeJson(Input)));
    } catch (const std::exception &Failure) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      Failure.what());
    }
  }

  std::string handle(const std::string &Request) {
    OnRequest(Request);
    return std::exchange(Response, std::string());
  }

private:
  std::map<std::string, method> Methods;
};

rpc_dispatcher::rpc_dispatcher() : Server(std::make_unique<server>()) {}

rpc_dispatcher::~rpc_dispatcher() = default;

void rpc_dispatcher::add(const std::string &Name, method Method) {
  Server->add(Name, std::move(Method));
}

std::string rpc_dispatcher::handle(const std::string &RequestText) {
  return Server->handle(RequestText);
}

} // namespace pomelo
