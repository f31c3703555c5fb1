#include "pomeloswitch/wire/json_rpc.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace pomelo {
namespace {

std::unique_ptr<rpc_dispatcher> makeDispatcher() {
  auto Dispatcher = std::make_unique<rpc_dispatcher>();
  Dispatcher->add("echo", [](const std::string &Parameters) {
    return R"({"got":)" + Parameters + "}";
  });
  Dispatcher->add("fail", [](const std::string &) -> std::string {
    throw std::runtime_error("no such slot");
  });
  return Dispatcher;
}

TEST(json_rpc, a_call_returns_what_the_method_answered) {
  const auto Dispatcher = makeDispatcher();
  const std::string Response =
      Dispatcher->handle(makeRpcRequest("echo", R"({"slot":7})"));
  EXPECT_EQ(readRpcResult(Response), R"({"got":{"slot":7}})");
}

TEST(json_rpc, an_exception_of_the_method_reaches_the_client) {
  const auto Dispatcher = makeDispatcher();
  try {
    readRpcResult(Dispatcher->handle(makeRpcRequest("fail", "{}")));
    FAIL() << "no error";
  } catch (const std::runtime_error &Failure) {
    EXPECT_NE(std::string(Failure.what()).find("no such slot"),
              std::string::npos)
        << Failure.what();
  }
}

class bad_rpc_request : public testing::TestWithParam<std::string> {};

TEST_P(bad_rpc_request, gets_an_error_response) {
  const auto Dispatcher = makeDispatcher();
  EXPECT_THROW(readRpcResult(Dispatcher->handle(GetParam())),
               std::runtime_error);
}

INSTANTIATE_TEST_SUITE_P(
    each_fault, bad_rpc_request,
    testing::Values("", "{", "[]", R"({"jsonrpc":"2.0","id":1})",
                    R"({"jsonrpc":"2.0","id":1,"method":"unknown"})"));

TEST(json_rpc, parameters_that_are_no_object_are_refused) {
  EXPECT_THROW(makeRpcRequest("echo", "[1]"), std::runtime_error);
}

} // namespace
} // namespace pomelo
