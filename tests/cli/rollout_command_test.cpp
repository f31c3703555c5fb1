//! What pomeloctl asks of the administration API for roll-outs.
#include "pomeloswitch/cli/operator_commands.hpp"
#include "pomeloswitch/http/simple_server.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>

#include <fstream>
#include <thread>

namespace pomelo {
namespace {

namespace asio = boost::asio;

//! An administration API that records one request and confirms it.
class recording_api {
public:
  recording_api()
      : Server(Io, {asio::ip::address_v4::loopback(), 0},
               [this](const text_request &Request) { return record(Request); }),
        Thread([this] { Io.run(); }) {}
  recording_api(const recording_api &) = delete;
  recording_api &operator=(const recording_api &) = delete;
  ~recording_api() { stop(); }

  void stop() {
    Io.stop();
    if (Thread.joinable())
      Thread.join();
  }
  [[nodiscard]] std::string address() const {
    return fmt::format("127.0.0.1:{}", Server.address().port());
  }

  std::string Line; //!< Method and target. Read after stop().
  std::string Body;

private:
  asio::awaitable<text_response> record(const text_request &Request) {
    Line = std::string(Request.method_string()) + " " +
           std::string(Request.target());
    Body = Request.body();
    co_return makeJsonResponse("{}", Request.version());
  }

  asio::io_context Io;
  simple_server Server;
  std::thread Thread;
};

struct rollout_command {
  std::string Name;
  std::vector<std::string> Words;
  std::string Line;
  std::string Body;
};

void PrintTo(const rollout_command &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class rollout_command_line : public testing::TestWithParam<rollout_command> {};

// Guards against a command that reaches the wrong call or loses an argument.
TEST_P(rollout_command_line, makes_its_request) {
  const std::string Credential = testing::TempDir() + "rollout_credential";
  std::ofstream(Credential) << "credential\n";
  recording_api Api;
  std::vector<std::string> Words{"--control=" + Api.address(),
                                 "--credential=" + Credential};
  Words.insert(Words.end(), GetParam().Words.begin(), GetParam().Words.end());
  EXPECT_EQ(runOperatorCommand(Words), 0);
  Api.stop();
  EXPECT_EQ(Api.Line, GetParam().Line);
  EXPECT_EQ(Api.Body, GetParam().Body);
}

INSTANTIATE_TEST_SUITE_P(
    each, rollout_command_line,
    testing::Values(
        rollout_command{
            "start",
            {"rollout", "start", "archive", "v2", "--within=12"},
            "POST /v1/rollouts",
            R"({"service":"archive","version":"v2","duration_s":12})"},
        rollout_command{"show",
                        {"rollout", "show", "a&b"},
                        "GET /v1/rollout?service=a%26b",
                        ""},
        rollout_command{"list", {"rollout", "list"}, "GET /v1/rollouts", ""}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
