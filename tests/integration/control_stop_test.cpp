#include "emulator/deployment.hpp"
#include "emulator/raw_call.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

namespace pomelo::emulator {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr unsigned Operators = 16;
constexpr auto CallTimeout = seconds(10);

//! One operator's call.
struct operator_call {
  steady_clock::time_point Sent; //!< When the whole request was written.
  steady_clock::time_point Ended;
  bool Whole = false; //!< Whether a whole answer arrived, of any status.
};

bool isWholeAnswer(const std::string &Bytes) {
  http::response_parser<http::string_body> Parser;
  Parser.eager(true);
  boost::system::error_code Failure;
  Parser.put(boost::asio::buffer(Bytes), Failure);
  return !Failure && Parser.is_done();
}

//! Issues a key; the answer waits for its commit and until it is in force.
operator_call issueKey(const std::string &Address,
                       const std::string &Operation) {
  constexpr std::string_view Body = R"({"account":"large"})";
  raw_connection Connection(Address);
  Connection.send(fmt::format("POST /v1/keys HTTP/1.1\r\nHost: test\r\n"
                              "Authorization: Bearer operator-credential\r\n"
                              "Pomelo-Operation-Id: {}\r\nConnection: close\r\n"
                              "Content-Length: {}\r\n\r\n{}",
                              Operation, Body.size(), Body));
  operator_call Call;
  Call.Sent = steady_clock::now();
  Call.Whole = isWholeAnswer(Connection.receive(CallTimeout));
  Call.Ended = steady_clock::now();
  return Call;
}

//! One control host whose operators send changes without a pause.
class control_stop : public testing::Test {
protected:
  control_stop()
      : Deployment(deployment::builder().withPlan({}).build()),
        Address(Deployment->adminAddresses().front()) {}

  //! Sends changes until the signal; each operator's last call is kept.
  std::vector<operator_call> callsAtSignal() {
    std::vector<operator_call> Last(Operators);
    std::vector<std::jthread> Threads;
    for (unsigned Number = 0; Number < Operators; ++Number)
      Threads.emplace_back([&, Number] {
        for (unsigned Round = 0; !Signalled; ++Round)
          try {
            Last[Number] =
                issueKey(Address, fmt::format("op-{}-{}", Number, Round));
            EXPECT_TRUE(Last[Number].Whole || Signalled) << "cut before";
          } catch (const boost::system::system_error &) {
            EXPECT_TRUE(Signalled) << "no connection before the signal";
          }
      });
    std::this_thread::sleep_for(milliseconds(500));
    Signalled = true;
    SignalTime = steady_clock::now();
    Deployment->at("c1").Process->signal(SIGTERM);
    Threads.clear();
    return Last;
  }

  std::unique_ptr<deployment> Deployment;
  std::string Address;
  std::atomic<bool> Signalled = false;
  steady_clock::time_point SignalTime;
};

// Connections of calls that were under way were closed at the signal.
TEST_F(control_stop, answers_each_change_that_was_sent_before_the_signal) {
  std::size_t Open = 0;
  std::vector<double> CutAgesMs;
  for (const operator_call &Call : callsAtSignal()) {
    if (Call.Sent >= SignalTime || Call.Ended < SignalTime)
      continue;
    ++Open;
    if (!Call.Whole)
      CutAgesMs.push_back(
          std::chrono::duration<double, std::milli>(SignalTime - Call.Sent)
              .count());
  }
  EXPECT_GT(Open, 0U);
  EXPECT_EQ(CutAgesMs.size(), 0U)
      << "of " << Open << " open calls; ages at the signal in ms: "
      << fmt::format("{:.1f}", fmt::join(CutAgesMs, ", "));
}

//! One operator's connection that is open when the leader is stopped.
struct lingering_case {
  std::string Name;
  std::string Sent; //!< By the operator, before the signal.
};

void PrintTo(const lingering_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class lingering_connection : public testing::TestWithParam<lingering_case> {
protected:
  lingering_connection() {
    deployment_plan Plan;
    Plan.ControlHosts = 3;
    Plan.FailureDomains = {"a", "b", "c"};
    Group = deployment::builder().withPlan(Plan).build();
  }

  std::string addressOf(const std::string &Id) {
    return std::string(
        Group->at(Id).Description.at("admin_address").as_string());
  }

  //! Id of a host, but \p Without, that is the confirmed leader and takes
  //! connections.
  std::string servingLeader(const std::string &Without) {
    for (const char *Id : {"c1", "c2", "c3"})
      try {
        if (Id == Without)
          continue;
        raw_connection Connection(addressOf(Id));
        Connection.send("GET /v1/status HTTP/1.1\r\nHost: test\r\n"
                        "Authorization: Bearer operator-credential\r\n"
                        "Connection: close\r\n\r\n");
        if (Connection.receive(seconds(3)).starts_with("HTTP/1.1 200"))
          return Id;
      } catch (const boost::system::system_error &) {
      }
    return {};
  }

  std::string awaitServingLeader(const std::string &Without = {}) {
    std::string Found;
    waitUntil([&] { return !(Found = servingLeader(Without)).empty(); },
              seconds(10));
    return Found;
  }

  std::unique_ptr<deployment> Group;
};

// A leader that drains is asked by nobody and replaced by nobody.
TEST_P(lingering_connection,
       leaves_operators_without_a_leader_for_3_s_at_most) {
  const std::string Leader = awaitServingLeader();
  ASSERT_NE(Leader, "");
  raw_connection Lingering(addressOf(Leader));
  Lingering.send(GetParam().Sent);
  std::this_thread::sleep_for(milliseconds(100));
  const auto Signalled = steady_clock::now();
  Group->at(Leader).Process->signal(SIGTERM);
  const std::string Next = awaitServingLeader(Leader);
  const auto Waited =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - Signalled);
  EXPECT_NE(Next, "");
  EXPECT_LE(Waited, seconds(3)) << Waited.count() << " ms";
}

INSTANTIATE_TEST_SUITE_P(
    each, lingering_connection,
    testing::Values(lingering_case{"idle", ""},
                    lingering_case{"half_a_header",
                                   "GET /v1/status HTTP/1.1\r\nHost: t"},
                    lingering_case{"half_a_body",
                                   "POST /v1/keys HTTP/1.1\r\nHost: test\r\n"
                                   "Authorization: Bearer operator-credential"
                                   "\r\nContent-Length: 100\r\n\r\n{"}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo::emulator
