#include "platform/target_calls.hpp"

#include "http/scripted_target.hpp"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace pomelo::platform {
namespace {

using std::chrono::seconds;

target_order orderTo(const scripted_target &Target, order_kind Kind) {
  target_order Order;
  Order.Kind = Kind;
  Order.TargetId = "t1";
  Order.Incarnation = 1;
  Order.Address = fmt::format("127.0.0.1:{}", Target.address().port());
  Order.Service = "s";
  Order.SlotCount = 256;
  Order.KeySpace = 65536;
  Order.Token = 7;
  Order.GrantDuration = milliseconds(3000);
  return Order;
}

order_result callTarget(boost::asio::io_context &Io, target_calls &Calls,
                        const target_order &Order) {
  std::optional<order_result> Got;
  Calls.call(Order, seconds(2),
             [&Got](const order_result &Result) { Got = Result; });
  while (!Got && Io.run_one() > 0)
    ;
  Io.restart();
  return Got.value_or(order_result());
}

void answerReleaseLate(scripted_connection &Connection) {
  if (Connection.readRequest().empty())
    return;
  std::this_thread::sleep_for(milliseconds(50));
  Connection.write("HTTP/1.1 200 OK\r\nX-Handover: own\r\n"
                   "Content-Length: 0\r\n\r\n");
  Connection.awaitEnd();
}

//! What follows an answer, and when.
struct stray_case {
  std::string Name;
  milliseconds After;
};

class stray_answer : public testing::TestWithParam<stray_case> {};

//! A second answer must not be taken for that of the next call: a release
//! counts as done only when the work under way has ended.
TEST_P(stray_answer, is_not_taken_for_that_of_a_release) {
  scripted_target Target([](scripted_connection &Connection, unsigned Number) {
    if (Number > 0)
      return answerReleaseLate(Connection);
    Connection.readRequest();
    const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    if (GetParam().After == milliseconds(0)) {
      Connection.write(Ok + Ok);
    } else {
      Connection.write(Ok);
      std::this_thread::sleep_for(GetParam().After);
      Connection.write(Ok);
    }
    answerReleaseLate(Connection);
  });
  boost::asio::io_context Io;
  target_calls Calls(Io);
  ASSERT_EQ(callTarget(Io, Calls, orderTo(Target, order_kind::Grant)).Outcome,
            order_outcome::Done);
  const order_result Released =
      callTarget(Io, Calls, orderTo(Target, order_kind::Release));
  EXPECT_EQ(Released.Outcome, order_outcome::Done);
  EXPECT_EQ(Released.Handover, "own");
}

INSTANTIATE_TEST_SUITE_P(
    each_time, stray_answer,
    testing::Values(stray_case{"with_the_first", milliseconds(0)},
                    stray_case{"after_the_next_call", milliseconds(20)}),
    [](const auto &Case) { return Case.param.Name; });

} // namespace
} // namespace pomelo::platform
