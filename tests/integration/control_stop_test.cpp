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

} // namespace
} // namespace pomelo::emulator
